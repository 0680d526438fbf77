/** What may be repeated of a route's requests. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** One way of a split route. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A rule that sends requests of a host and path prefix to a service. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request may be kept waiting. */
  readonly timeoutMs: number;
  /** Latency objective; for streams up to the first event. */
  readonly targetLatencyMs: number;
  /** Longest pause between two events of a stream that is on time. */
  readonly targetEventGapMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly split: readonly WeightedService[];
  /** Most backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may go on at another backend server. */
  readonly isResumable: boolean;
}

/** Measures of the model engines of a service. */
export interface EngineLimits {
  /** Requests that one engine runs at once. */
  readonly slots: number;
  /** Tokens that the memory of one engine holds. */
  readonly memoryTokens: number;
  /** Output tokens that one event of a stream holds. */
  readonly tokensPerEvent: number;
  /** Time that a prefill result is kept for its decode engine. */
  readonly prefillTtlMs: number;
  /** Longest time that memory may be reserved ahead of a request; 0 where it may not. */
  readonly maxReservationMs: number;
}

/** A group of backend servers that serve the same requests. */
export interface ServiceInfo {
  readonly name: string;
  /** Connections that one backend server accepts from all VMs together. */
  readonly maxConnections: number;
  /** Present where the backend servers are model engines. */
  readonly engine: EngineLimits | undefined;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A workspace with its keys and its rate. */
export interface RoutedWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the priority of the route. */
  readonly priority: number | undefined;
  /** Cost units a second; 0 is no limit. */
  readonly ratePerS: number;
  readonly burst: number;
  /** What a request costs: its tokens, or one. */
  readonly unit: 'tokens' | 'requests';
  /** Cost of a request that names no tokens. */
  readonly defaultCost: number;
}

/** A whole configuration; versions only grow. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceInfo[];
  readonly limits: CallerLimits;
  /** Undefined where requests need no keys. */
  readonly workspaces: readonly RoutedWorkspace[] | undefined;
}

/** The part of the work that a model engine does. */
export type EngineStage = 'prefill' | 'decode';

/** A backend server as the platform lists it. */
export interface BackendServer {
  readonly id: string;
  /** Start of this incarnation in Unix milliseconds; an id may start again. */
  readonly startedAt: number;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly state: 'ready' | 'draining';
  readonly slots: number;
  /** Undefined for plain services. */
  readonly stage: EngineStage | undefined;
}

/** What a caller's request says beside its method, target and body. */
export interface CallMetadata {
  readonly id: string;
  readonly key: string | undefined;
  /** Time that the caller still waits, from the arrival of the request. */
  readonly callerTimeoutMs: number | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's guess of the output tokens. */
  readonly expectedOutputTokens: number | undefined;
  /** Whether the request names tokens at all. */
  readonly hasTokenCounts: boolean;
  /** Number of the last event that the caller holds of an earlier response. */
  readonly lastEventId: string | undefined;
}
