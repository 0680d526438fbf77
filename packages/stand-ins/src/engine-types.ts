/** Capacity and timing of a stand-in engine. */
export interface EngineOptions {
  readonly name: string;
  readonly role: 'prefill' | 'decode';
  readonly model: string;
  readonly version: string;
  readonly port: number;
  readonly slots: number;
  /** Prompt tokens computed per second. */
  readonly prefillRate: number;
  /** Time between two tokens with one stream, in milliseconds. */
  readonly tokenMs: number;
  /** Added time between two tokens for each further stream, in milliseconds. */
  readonly tokenMsPerStream: number;
  /** Time for which a prefill result is kept for transfer, in milliseconds. */
  readonly keepPrefillMs: number;
  /** Bandwidth of the outgoing link of the engine. */
  readonly linkBytesPerSecond: number;
  readonly kvBytesPerToken: number;
  readonly pieceTokens: number;
  /** Capacity of the prefix cache, in pieces. */
  readonly cachePieces: number;
  /** Interval at which the load report is refreshed, in milliseconds. */
  readonly loadLagMs: number;
  /** Time that loading a model version takes, in milliseconds. */
  readonly loadVersionMs: number;
  /** Whether orders with an outdated fencing number are rejected. */
  readonly fencing: boolean;
}

/** Faults of a stand-in engine; a POST to `/control/faults` replaces the fields in its body. */
export interface EngineFaults {
  /** Responds only to requests below `/control`; others wait until the fault ends. */
  frozen: boolean;
  /** Exports of prefill results stall. */
  stallTransfers: boolean;
  /** Fraction of cancel requests whose connection is closed before they take effect. */
  loseCancels: number;
  /** Fraction of orders that take effect but whose response is lost. */
  loseOrderAnswers: number;
  /** Number of tokens after which streams are cut; 0 disables the fault. */
  cutAfterTokens: number;
  /** Fraction of cache events that are never published. */
  loseCacheEvents: number;
  /** Factor on the duration of every computation and of loading a version. */
  slowdown: number;
  /** Rejects every prefill and decode request with 503. */
  refuse: boolean;
}

/** Default options of a small prefill or decode engine. */
export const defaultEngineOptions: Omit<EngineOptions, 'name' | 'role' | 'port'> = {
  model: 'drawing-reader',
  version: 'v1',
  slots: 20,
  prefillRate: 20_000,
  tokenMs: 12,
  tokenMsPerStream: 0.6,
  keepPrefillMs: 800,
  linkBytesPerSecond: 1_000_000_000,
  kvBytesPerToken: 10_000,
  pieceTokens: 2_048,
  cachePieces: 200,
  loadLagMs: 250,
  loadVersionMs: 1_500,
  fencing: true,
};

/** Initial state, without any fault. */
export const noEngineFaults: EngineFaults = {
  frozen: false,
  stallTransfers: false,
  loseCancels: 0,
  loseOrderAnswers: 0,
  cutAfterTokens: 0,
  loseCacheEvents: 0,
  slowdown: 1,
  refuse: false,
};

/** A line of a stream as JSON: one token, or the end of the stream. */
export type StreamLine =
  | { readonly i: number; readonly text: string }
  | { readonly done: true; readonly tokens: number; readonly reason: 'stop' | 'length' };
