/** Kind of the requests of a route; it decides which failed requests may be retried. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** One target of a route that splits its traffic between services. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A rule that routes requests with a host and a path prefix to a service. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum time from the arrival of a request to the end of its response. */
  readonly timeoutMs: number;
  /** Target latency of the complete response, or of the first event of a stream. */
  readonly targetLatencyMs: number;
  /** Target for the maximum time between two events of a stream. */
  readonly targetEventGapMs: number;
  /** Priority of the requests; 0 is the most urgent. */
  readonly priority: number;
  readonly split: readonly WeightedService[];
  /** Maximum number of backend servers to which one request is sent. */
  readonly maxAttempts: number;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
  /** Whether an interrupted stream may be resumed at another backend server. */
  readonly isResumable: boolean;
}

/** Capacity and limits of each model engine of a service. */
export interface EngineLimits {
  /** Requests that one engine runs concurrently. */
  readonly slots: number;
  /** Tokens that fit into the memory of one engine. */
  readonly memoryTokens: number;
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Time for which a prefill result is kept for its decode engine. */
  readonly prefillTtlMs: number;
  /** Maximum time for which memory may be reserved before a request; 0 if it can't be reserved. */
  readonly maxReservationMs: number;
  /** Time that an engine needs to change its stage, after its running work has ended. */
  readonly stageChangeMs: number;
}

/** A service, run by a group of interchangeable backend servers. */
export interface ServiceInfo {
  readonly name: string;
  /** Maximum number of connections to one backend server from all VMs together. */
  readonly maxConnections: number;
  /** Set if the backend servers are model engines. */
  readonly engine: EngineLimits | undefined;
  /** Time for which a server is cold after its start; undefined if the service has none. */
  readonly coldStartMs?: number | undefined;
  /** Requests per second that a cold server can handle; undefined if its servers are never cold. */
  readonly coldPerS?: number | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A workspace with its keys and its rate limit. */
export interface RoutedWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route. */
  readonly priority: number | undefined;
  /** Cost units per second; 0 means no limit. */
  readonly ratePerS: number;
  readonly burst: number;
  /** Unit of a request's cost: its tokens, or 1 per request. */
  readonly unit: 'tokens' | 'requests';
  /** Cost of a request without token counts, where the unit is tokens. */
  readonly defaultCost: number;
}

/** A complete configuration; later configurations have higher versions. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceInfo[];
  readonly limits: CallerLimits;
  /** Undefined if requests need no keys. */
  readonly workspaces: readonly RoutedWorkspace[] | undefined;
}

/** The stage of a request that a model engine runs. */
export type EngineStage = 'prefill' | 'decode';

/** A backend server, as listed by the platform. */
export interface BackendServer {
  readonly id: string;
  /** Start time of this incarnation in Unix milliseconds; a restarted server keeps its id. */
  readonly startedAt: number;
  readonly service: string;
  /** Version of its software, not of the model's weights; versions have no order. */
  readonly softwareVersion: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly state: 'ready' | 'draining';
  readonly slots: number;
  /** Undefined for servers of plain services. */
  readonly stage: EngineStage | undefined;
  /** Time for which it stays cold, from the moment of its entry; absent if it is not cold. */
  readonly coldRemainingMs?: number | 'unreadable';
}

/** Metadata of a caller's request, read from its headers. */
export interface CallMetadata {
  readonly id: string;
  readonly key: string | undefined;
  /** Time for which the caller waits for the response, from the arrival of the request. */
  readonly callerTimeoutMs: number | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output tokens. */
  readonly expectedOutputTokens: number | undefined;
  /** Whether the request states its token counts. */
  readonly hasTokenCounts: boolean;
  /** Id of the last event that the caller received of an earlier response. */
  readonly lastEventId: string | undefined;
  /** Id of the caller's request that brought the first event of the stream, if it takes one up. */
  readonly resumedRequest: string | undefined;
  /** Ids of the parts of the prompt that other requests may share, in order. */
  readonly promptParts: readonly string[];
}
