import type { Result } from 'neverthrow';
import type { StoreEntry } from './ports.js';
import type { BackendServer, CallMetadata, EngineStage, RoutingConfig } from './routing.js';

/** Why a call to a backend server failed, classified by whether the request may have run. */
export type CallFault =
  /** No byte was sent. */
  | {
      readonly kind: 'not-sent';
      readonly reason: string;
      /** Start time of the instance that answered in place of the listed one, if one did, in Unix milliseconds. */
      readonly foundStartedAt?: number;
    }
  /** The backend server reported that it did not run the request. */
  | { readonly kind: 'rejected'; readonly reason: 'full' | 'other-instance' }
  /** The request may have run. */
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      /** Whether the answer was not valid HTTP or exceeded a limit, so that it may have had no end. */
      readonly isMalformed?: true;
    };

/** Status and headers of a backend server's response, without hop-by-hop headers. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  /** False if the status or the method of the request allows no body. */
  readonly hasBody: boolean;
  /** Whether the body has a length or is chunked; otherwise it ends when the connection closes. */
  readonly isFramed: boolean;
}

/**
 * Receives the response of a backend server; nothing follows `end` or `fault`, and nothing comes before
 * the call that sent the request has returned.
 */
export interface ResponseObserver {
  readonly start: (head: ResponseHead) => void;
  readonly data: (chunk: Buffer) => void;
  readonly end: () => void;
  readonly fault: (fault: CallFault) => void;
}

/** A caller's request to forward; its target and body are passed on unchanged. */
export interface ForwardedCall {
  readonly method: string;
  readonly target: string;
  /** Header names and values, alternating, as the caller sent them. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly metadata: CallMetadata;
  readonly workspace: string | undefined;
}

/** A completed prefill whose KV memory is kept at its engine for a decode engine. */
export interface PrefillResult {
  readonly server: BackendServer;
  /** Identifies the memory at that engine. */
  readonly handle: string;
}

/** Whether the receiver of a response takes more of it. */
export interface ResponseFlow {
  readonly isFull: () => boolean;
  /** Registers a callback that runs once, when there is room again or the receiver is gone. */
  readonly onRoom: (callback: () => void) => void;
}

/** Whether a call may reach only the listed instance of a server, not one that came back under its id. */
export interface InstanceOptions {
  /** Sends the call only on a connection on which the server has stated the start time that is listed. */
  readonly confirmsInstance?: boolean;
  /** Called each time the server is asked for it, which is a request of its own. */
  readonly onInstanceAsked?: () => void;
}

/** Options of one attempt to send a call. */
export interface SendOptions extends InstanceOptions {
  /** Time remaining until the caller's deadline or the route's timeout. */
  readonly remainingMs: number;
  /** Prefill result that the engine must fetch before it decodes. */
  readonly prefilled?: PrefillResult;
  /** Memory reservation at this engine that the call uses. */
  readonly reservation?: string;
  /** Priority at the engine, from 0 (most urgent) to 9. */
  readonly priority?: number;
  /** Id of the last event that was delivered to the caller. */
  readonly resumeAfter?: string;
  /** While it is full, the response is not read. */
  readonly flow?: ResponseFlow;
}

/** Cancels a call and closes its connection. */
export type CancelCall = () => void;

/** What an engine reports about itself; the report lags behind its actual state. */
export interface EngineReport {
  /** Start time of the instance that reports, in Unix milliseconds. */
  readonly startedAt: number;
  readonly stage: EngineStage;
  /** Whether the engine is carrying out an order. */
  readonly isBusy: boolean;
  /** Number of orders that this instance has accepted. */
  readonly acceptedOrders: number;
}

/**
 * Which instance answers for a backend server: `ended` if its address refuses connections or is another
 * server's, `unreachable` if another VM through which it is asked can't reach it, `unknown` if it can't be told.
 */
export type InstanceResult =
  | {
      readonly kind: 'running';
      /** Start time of the instance, in Unix milliseconds. */
      readonly startedAt: number;
    }
  | { readonly kind: 'ended' }
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'unknown' };

/** An order to change the stage of an engine. */
export interface StageOrder {
  readonly stage: EngineStage;
  /** Name of the process that gives the order. */
  readonly holder: string;
  /** Fencing token; engines that check it reject an order with a lower one than seen before. */
  readonly fence: number;
  /** The order is void if the engine has accepted another one since. */
  readonly expectedOrders: number;
}

/** The response to an order; `unknown` means that it may have been accepted. */
export type OrderOutcome = 'accepted' | 'holds' | 'conflict' | 'fenced' | 'rejected' | 'unknown';

/** What a backend server states about itself in a response to any call, or that it accepts no connection. */
export type ServerNotice =
  /** A connection to it was not established in time. */
  | { readonly kind: 'unreachable' }
  /** It is about to leave and takes no new requests. */
  | { readonly kind: 'leaving' }
  /** It wants no request from this VM for a time. */
  | { readonly kind: 'pause'; readonly durationMs: number }
  /** It takes so many requests from all VMs together, as long as its responses say so. */
  | {
      readonly kind: 'limit';
      /** Undefined if the response names no limit. */
      readonly requestsPerS: number | undefined;
      /** Milliseconds from the call to its response. */
      readonly latencyMs: number;
    };

/** How connections to backend servers are opened, and what became of it. */
export interface ServerRoutes {
  /** Peers' address of the VM through which a connection is opened; undefined to open it directly. */
  readonly chooseRelay: () => string | undefined;
  /** Records whether a connection could be opened directly. */
  readonly recordDirect: (server: BackendServer, isOpened: boolean) => void;
  /** Records that a VM opened no connection, for a reason of its own. */
  readonly recordRelayFailed: (relay: string) => void;
}

/** Receives the notices of backend servers. */
export type OnServerNotice = (server: BackendServer, notice: ServerNotice) => void;

/** What an answer of a backend server was, and what reading it took. */
export interface AnswerRecord {
  readonly status: number;
  /** Number of bytes of the body, and of all else: heads and the framing of chunks. */
  readonly contentBytes: number;
  readonly framingBytes: number;
  /** Number of pieces in which the body was handed on. */
  readonly pieces: number;
  /** Time that the handling of its reads took, and the longest of them, in milliseconds. */
  readonly handlingMs: number;
  readonly longestReadMs: number;
  /** Why it isn't whole; undefined if it is, or if it was not needed any more. */
  readonly fault: string | undefined;
}

/** Receives the record of each answer when the VM stops to read it. */
export type OnAnswer = (server: BackendServer, record: AnswerRecord) => void;

/** Client for calls to backend servers. */
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
    options?: InstanceOptions,
  ) => CancelCall;
  readonly releasePrefill: (result: PrefillResult) => void;
  readonly reserve: (
    server: BackendServer,
    tokens: number,
    ttlMs: number,
    onDone: (outcome: ReserveOutcome) => void,
    options?: InstanceOptions,
  ) => void;
  readonly releaseReservation: (server: BackendServer, reservation: string) => void;
  /** Asks an engine for its report; undefined if it can't be had. */
  readonly report: (
    server: BackendServer,
    onDone: (report: EngineReport | undefined) => void,
  ) => void;
  /** Asks a backend server which instance it is; possibly reports before the return. */
  readonly checkInstance: (server: BackendServer, onDone: (result: InstanceResult) => void) => void;
  readonly order: (
    server: BackendServer,
    order: StageOrder,
    onDone: (outcome: OrderOutcome) => void,
  ) => void;
  /** Closes the idle connections to a backend server that was removed. */
  readonly closeConnections: (server: BackendServer) => void;
  /** Opens a direct connection to a backend server, and closes it, to learn whether it can be reached. */
  readonly probe: (server: BackendServer) => void;
}

/** The result of a prefill. */
export type PrefillOutcome =
  | { readonly kind: 'done'; readonly result: PrefillResult }
  | { readonly kind: 'fault'; readonly fault: CallFault };

/** The result of a reservation request. */
export type ReserveOutcome =
  | { readonly kind: 'reserved'; readonly reservation: string }
  | { readonly kind: 'full' }
  | {
      readonly kind: 'fault';
      readonly reason: string;
      /** Start time of the instance that answered in place of the listed one, if one did, in Unix milliseconds. */
      readonly foundStartedAt?: number;
      /** Whether the answer was not valid HTTP or exceeded a limit, so that it may have had no end. */
      readonly isMalformed?: true;
    };

/** Parses a caller's headers, or returns the problem that makes them invalid. */
export type ReadCallMetadata = (
  rawHeaders: readonly string[],
) => { readonly metadata: CallMetadata } | { readonly problem: string };

/** An entry in the platform's list of backend servers; an invalid one has no `server`. */
export interface ListedServer {
  readonly key: string;
  readonly revision: number;
  readonly server: BackendServer | undefined;
}

/** Keys and formats of the entries in the platform's store. */
export interface StoreFormat {
  /** Prefix of the keys of backend servers. */
  readonly serverPrefix: string;
  /** Prefix of all keys that operators write, the configuration among them. */
  readonly operatorPrefix: string;
  readonly configKey: string;
  /** Prefix of the keys of evacuated data centres; the name of the data centre follows. */
  readonly evacuationPrefix: string;
  /** Key of the lock that the VM which changes the stages of engines holds. */
  readonly stageLockKey: string;
  /** Key of the record of the software versions of all services. */
  readonly versionRecordKey: string;
  /** Prefix of the keys under which VMs write where streams began. */
  readonly originPrefix: string;
  /** Prefix of the keys under which VMs register themselves. */
  readonly vmPrefix: string;
  readonly decodeServer: (entry: StoreEntry) => ListedServer;
  /** Decodes a configuration, or returns the reason why it is invalid. */
  readonly decodeConfig: (value: string) => Result<RoutingConfig, string>;
}
