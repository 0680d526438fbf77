import type { CallResult } from '../caller.js';

/** A completion request and its result. */
export interface CompletionRecord {
  readonly kind: 'completion';
  readonly workspace: string;
  readonly keyId: string;
  readonly promptDigest: string;
  readonly vm: number;
  readonly cancelled: boolean;
  readonly result: CallResult;
}

/** A service call and its result. */
export interface ServiceRecord {
  readonly kind: 'service';
  readonly workspace: string;
  readonly keyId: string;
  /** Empty for calls that are safe to retry without a key. */
  readonly idempotencyKey: string;
  /** Identifies the call in the service's records; empty for reads. */
  readonly body: string;
  readonly vm: number;
  readonly result: CallResult;
}

/** A call of the workload and its result. */
export type CallRecord = CompletionRecord | ServiceRecord;

/** A violation of a guarantee in docs/GUARANTEES.md. */
export interface Violation {
  /** Number of the row that states the guarantee. */
  readonly row: number;
  readonly detail: string;
}

/** A prefill or decode that an engine started. */
export interface EngineStartRecord {
  readonly kind: string;
  readonly id: string;
  readonly workspace: string;
  readonly promptDigest: string;
}

/** Reply of a stand-in engine's control interface. */
export interface EngineReport {
  readonly records: readonly EngineStartRecord[];
  readonly keySightings: number;
  readonly prefillTokens: number;
  readonly wastedPrefillTokens: number;
  readonly lostByLoading: number;
  readonly held: number;
  readonly version: string;
}

/** Reply of a stand-in service's control interface. */
export interface ServiceReport {
  readonly runs: readonly { readonly workspace: string; readonly body: string }[];
  readonly keySightings: number;
}

/** A withdrawal of a key, with its time on the callers' clock. */
export interface KeyWithdrawal {
  readonly keyId: string;
  readonly acceptedAt: number;
}

/** The revision that a VM reported, with the time on the callers' clock. */
export interface RevisionReport {
  readonly incarnation: string;
  readonly revision: number;
  readonly observedAt: number;
}
