import type { Result } from 'neverthrow';
import type { StoreEntry } from './ports.js';
import type { BackendServer, CallMetadata, RoutingConfig } from './routing.js';

/** How a call to a backend server failed, by what it says about the request having run. */
export type CallFault =
  /** No byte was sent. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** The backend server says that it did not run the request. */
  | { readonly kind: 'rejected'; readonly reason: 'full' | 'other-instance' }
  /** The request may have run. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** The head of a backend server's response, with the headers that may be passed on. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  /** Whether the answer says itself where it ends; one without a length ends with its connection. */
  readonly isFramed: boolean;
}

/** Receives what a backend server answers; `fault` and `end` are final. */
export interface ResponseObserver {
  readonly start: (head: ResponseHead) => void;
  readonly data: (chunk: Buffer) => void;
  readonly end: () => void;
  readonly fault: (fault: CallFault) => void;
}

/** A caller's request as it is sent on; the target and body are never changed. */
export interface ForwardedCall {
  readonly method: string;
  readonly target: string;
  /** Names and values by turns, as the caller sent them. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly metadata: CallMetadata;
  readonly workspace: string | undefined;
}

/** A finished prefill whose memory waits at its engine. */
export interface PrefillResult {
  readonly server: BackendServer;
  /** Name of the memory at that engine. */
  readonly handle: string;
}

/** How one send of a call differs from the caller's request. */
export interface SendOptions {
  /** Time left until the caller's deadline or the route's timeout. */
  readonly remainingMs: number;
  /** Memory from a prefill that the engine fetches first. */
  readonly prefilled?: PrefillResult;
  /** Reservation at this engine that the call uses. */
  readonly reservation?: string;
  /** Rank of the request at the engine, 0 to 9, 0 first. */
  readonly priority?: number;
  /** Number of the last event that was delivered. */
  readonly resumeAfter?: string;
}

/** Ends a call and closes its connection. */
export type CancelCall = () => void;

/** An engine's own account of its load, some time old. */
export interface EngineReport {
  readonly usedTokens: number;
  readonly totalTokens: number;
  readonly running: number;
  readonly queued: number;
}

/** Calls to backend servers. */
export interface BackendClient {
  readonly send: (
    server: BackendServer,
    call: ForwardedCall,
    options: SendOptions,
    observer: ResponseObserver,
  ) => CancelCall;
  readonly prefill: (
    server: BackendServer,
    call: ForwardedCall,
    remainingMs: number,
    onDone: (outcome: PrefillOutcome) => void,
  ) => CancelCall;
  readonly releasePrefill: (result: PrefillResult) => void;
  readonly reserve: (
    server: BackendServer,
    tokens: number,
    ttlMs: number,
    onDone: (outcome: ReserveOutcome) => void,
  ) => void;
  readonly releaseReservation: (server: BackendServer, reservation: string) => void;
  /** Closes kept connections of a backend server that is gone. */
  readonly closeConnections: (server: BackendServer) => void;
}

/** What became of a prefill. */
export type PrefillOutcome =
  | { readonly kind: 'done'; readonly result: PrefillResult }
  | { readonly kind: 'fault'; readonly fault: CallFault };

/** What became of a reservation. */
export type ReserveOutcome =
  | { readonly kind: 'reserved'; readonly reservation: string }
  | { readonly kind: 'full' }
  | { readonly kind: 'fault'; readonly reason: string };

/** Reads what a caller's headers say, or why they can't be read. */
export type ReadCallMetadata = (
  rawHeaders: readonly string[],
) => { readonly facts: CallMetadata } | { readonly problem: string };

/** An entry of the platform's list of backend servers; undefined where it names none. */
export interface ListedServer {
  readonly key: string;
  readonly revision: number;
  readonly server: BackendServer | undefined;
}

/** Keys and formats of what the platform's store holds. */
export interface StoreFormat {
  /** Prefix of the entries of backend servers. */
  readonly serverPrefix: string;
  readonly configKey: string;
  /** Prefix below which VMs enter themselves. */
  readonly vmPrefix: string;
  readonly decodeServer: (entry: StoreEntry) => ListedServer;
  /** Decodes a configuration, or tells why it can't be read. */
  readonly decodeConfig: (value: string) => Result<RoutingConfig, string>;
}
