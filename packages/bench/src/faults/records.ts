import type { CallResult } from '../caller.js';

/** A completion that was asked for, and how it ended. */
export interface CompletionRecord {
  readonly kind: 'completion';
  readonly workspace: string;
  readonly keyId: string;
  readonly promptDigest: string;
  readonly vm: number;
  readonly cancelled: boolean;
  readonly end: CallResult;
}

/** A service call that was made, and how it ended. */
export interface ServiceRecord {
  readonly kind: 'service';
  readonly workspace: string;
  readonly keyId: string;
  /** Empty for calls that may be repeated. */
  readonly idempotencyKey: string;
  /** Tells calls apart at the service. */
  readonly body: string;
  readonly vm: number;
  readonly end: CallResult;
}

/** Any call. */
export type CallRecord = CompletionRecord | ServiceRecord;

/** A violation of what must always hold. */
export interface Violation {
  /** Row of docs/GUARANTEES.md. */
  readonly row: number;
  readonly detail: string;
}

/** What an engine recorded of a start. */
export interface EngineStartRecord {
  readonly kind: string;
  readonly id: string;
  readonly workspace: string;
  readonly promptDigest: string;
}

/** What the control interface of an engine tells. */
export interface EngineReport {
  readonly records: readonly EngineStartRecord[];
  readonly keySightings: number;
  readonly prefillTokens: number;
  readonly wastedPrefillTokens: number;
  readonly lostByLoading: number;
  readonly held: number;
  readonly version: string;
}

/** What the control interface of a service tells. */
export interface ServiceControl {
  readonly runs: readonly { readonly workspace: string; readonly body: string }[];
  readonly keySightings: number;
}

/** A withdrawal of a key, on the callers' clock. */
export interface Withdrawal {
  readonly keyId: string;
  readonly acceptedAt: number;
}

/** A revision that a VM reported, on the callers' clock. */
export interface RevisionReport {
  readonly incarnation: string;
  readonly revision: number;
  readonly at: number;
}
