import type { LatencyTargets, RequestClass } from './requests.js';

/** A workspace and its rate over all VMs together. */
export interface Workspace {
  readonly name: string;
  /** Tokens per second. */
  readonly rate: number;
  /** Tokens. */
  readonly burst: number;
  /** Share of contended capacity relative to other workspaces. */
  readonly weight: number;
}

/** A pool of model backend servers for one model. */
export interface Pool {
  readonly model: string;
  /** Version that every backend server of the pool should run. */
  readonly version: string;
  /** Tokens per piece of the engines' prefix cache. */
  readonly pieceTokens: number;
  /** Decode slots per decode backend server. */
  readonly slots: number;
  /** Prompt tokens a prefill backend server computes per second. */
  readonly prefillRate: number;
  /** Share in (0, 1) of decode slots that patient work may always use. */
  readonly patientShare: number;
  /** Most tokens one prompt may have. */
  readonly maxPromptTokens: number;
  /** Most tokens one answer may have. */
  readonly maxOutputTokens: number;
  readonly urgent: LatencyTargets;
  readonly patient: LatencyTargets;
}

/** What a backend server does. */
export type BackendRole = 'prefill' | 'decode' | 'service';

/** A backend server: a model engine of a pool, or a plain service. */
export interface BackendServer {
  readonly name: string;
  readonly role: BackendRole;
  /** Model of its pool; empty for services. */
  readonly model: string;
  /** Name of the service it runs; empty for engines. */
  readonly service: string;
  /** `http://` or `https://` base URL with an IP address and port. */
  readonly url: string;
  readonly dataCentre: string;
  /** Whether it refuses orders with an old fencing number. */
  readonly fencing: boolean;
}

/** A plain service route. */
export interface ServiceRoute {
  readonly name: string;
  readonly method: string;
  /** Path with `:name` parameters, for example `/orders/:id/confirm`. */
  readonly path: string;
  readonly service: string;
  readonly class: RequestClass;
  /** Whether a call may be sent more than once. */
  readonly idempotent: boolean;
  /** Whether it needs no key. */
  readonly open: boolean;
  /** Tokens charged to the workspace for one call. */
  readonly cost: number;
  readonly timeoutMs: number;
}

/** Limits that hold for a whole environment. */
export interface Limits {
  readonly maxBodyBytes: number;
  /** Longest time one completion may take, in milliseconds. */
  readonly maxRequestMs: number;
  /** Longest time a request may wait for tokens of its workspace's rate. */
  readonly urgentRateWaitMs: number;
  readonly patientRateWaitMs: number;
  /** How long an idempotency key is remembered. */
  readonly claimRetentionMs: number;
  /** How long a backend server may take to drain before it is upgraded all the same. */
  readonly drainMs: number;
}

/** The checked configuration document of one environment. */
export interface ConfigDocument {
  readonly limits: Limits;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  readonly pools: ReadonlyMap<string, Pool>;
  readonly backendServers: ReadonlyMap<string, BackendServer>;
  readonly routes: readonly ServiceRoute[];
}

/** A key as it is kept: only its hash. */
export interface KeyRecord {
  /** Public identifier, the first part of the key. */
  readonly id: string;
  readonly workspace: string;
  /** Hex SHA-256 of the whole key. */
  readonly hash: string;
  /** Wall-clock time of giving, ISO 8601. */
  readonly givenAt: string;
}

/** Everything that is in force at one revision. */
export interface Snapshot {
  readonly revision: number;
  readonly document: ConfigDocument;
  readonly keys: ReadonlyMap<string, KeyRecord>;
}
