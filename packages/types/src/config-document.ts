import type { LatencyTargets, RequestClass } from './requests.js';

/** A workspace with the rate limit that all VMs enforce together. */
export interface Workspace {
  readonly name: string;
  /** Rate limit in tokens per second. */
  readonly rate: number;
  /** Tokens that may be used in one burst. */
  readonly burst: number;
  /** Share of contended capacity, relative to the weights of the other workspaces. */
  readonly weight: number;
}

/** The backend servers that run one model. */
export interface Pool {
  readonly model: string;
  /** Version that every backend server of the pool should run. */
  readonly version: string;
  /** Tokens in one piece, the block size of the engines' prefix cache. */
  readonly pieceTokens: number;
  /** Requests that one decode backend server runs concurrently. */
  readonly slots: number;
  /** Prompt tokens that one prefill backend server processes per second. */
  readonly prefillRate: number;
  /** Share in (0, 1) of the decode slots that is guaranteed to patient requests. */
  readonly patientShare: number;
  /** Maximum number of tokens in a prompt. */
  readonly maxPromptTokens: number;
  /** Maximum number of tokens in a response. */
  readonly maxOutputTokens: number;
  readonly urgent: LatencyTargets;
  readonly patient: LatencyTargets;
}

/** The kind of work that a backend server does. */
export type BackendRole = 'prefill' | 'decode' | 'service';

/** A backend server: a model engine in a pool, or an instance of a plain service. */
export interface BackendServer {
  readonly name: string;
  readonly role: BackendRole;
  /** Model of the engine's pool; empty for services. */
  readonly model: string;
  /** Name of the service that it runs; empty for engines. */
  readonly service: string;
  /** `http://` or `https://` base URL with an IP address and port. */
  readonly url: string;
  readonly dataCentre: string;
  /** Whether it rejects orders with an outdated fencing number. */
  readonly fencing: boolean;
}

/** A route to a plain service. */
export interface ServiceRoute {
  readonly name: string;
  readonly method: string;
  /** Path with `:name` parameters, for example `/orders/:id/confirm`. */
  readonly path: string;
  readonly service: string;
  readonly class: RequestClass;
  /** Whether a call may safely be sent more than once. */
  readonly idempotent: boolean;
  /** Whether calls are accepted without a key. */
  readonly open: boolean;
  /** Tokens that one call takes from the workspace's rate limit. */
  readonly cost: number;
  readonly timeoutMs: number;
}

/** Limits that apply to a whole environment. */
export interface Limits {
  readonly maxBodyBytes: number;
  /** Maximum duration of a completion, in milliseconds. */
  readonly maxRequestMs: number;
  /** Maximum time that an urgent request waits for its workspace's rate limit. */
  readonly urgentRateWaitMs: number;
  /** Maximum time that a patient request waits for its workspace's rate limit. */
  readonly patientRateWaitMs: number;
  /** Time for which the result of an idempotency key is kept. */
  readonly claimRetentionMs: number;
  /** Maximum time to drain a backend server; after it the upgrade proceeds anyway. */
  readonly drainMs: number;
}

/** The validated configuration document of one environment. */
export interface ConfigDocument {
  readonly limits: Limits;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  readonly pools: ReadonlyMap<string, Pool>;
  readonly backendServers: ReadonlyMap<string, BackendServer>;
  readonly routes: readonly ServiceRoute[];
}

/** The stored record of a workspace's key, which holds only a hash of the key. */
export interface KeyRecord {
  /** Public identifier, the first part of the key. */
  readonly id: string;
  readonly workspace: string;
  /** SHA-256 of the complete key, in hexadecimal. */
  readonly hash: string;
  /** Wall-clock time at which the key was issued, in ISO 8601. */
  readonly givenAt: string;
}

/** The configuration and the keys in effect at one revision. */
export interface Snapshot {
  readonly revision: number;
  readonly document: ConfigDocument;
  readonly keys: ReadonlyMap<string, KeyRecord>;
}
