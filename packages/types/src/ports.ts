import type { Result } from 'neverthrow';

/** Returns the current time in milliseconds on a clock that never goes back. */
export type Clock = () => number;

/** Returns a number in [0, 1). */
export type Random = () => number;

/** Why a call to the platform's key-value service gave no usable answer. */
export type StoreFault = 'unreachable' | 'timeout' | 'overloaded' | 'bad-answer' | 'lease-gone';

/** One key with the store revision of its last write. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** The answer to a compare-and-swap. */
export type CasResponse =
  | { readonly kind: 'written'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly current: StoreEntry | undefined };

/** A compare-and-swap of one key; `expected` 0 means that the key must not exist. */
export interface CasRequest {
  readonly key: string;
  readonly expected: number;
  /** The new value, or undefined to delete the key. */
  readonly value: string | undefined;
  readonly leaseId?: string;
}

/** A change seen by a watch; a deleted key has no value. */
export interface WatchEvent {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** The answer to a watch; a `compacted` watch has missed events and must list again. */
export type WatchResponse =
  | { readonly kind: 'events'; readonly events: readonly WatchEvent[]; readonly revision: number }
  | { readonly kind: 'compacted' };

/** The entries below a prefix and the store revision they were read at. */
export interface StoreListing {
  readonly entries: readonly StoreEntry[];
  readonly revision: number;
}

/** The platform's key-value service, as every package that keeps state sees it. */
export interface Store {
  readonly get: (key: string) => Promise<Result<StoreEntry | undefined, StoreFault>>;
  readonly list: (prefix: string) => Promise<Result<StoreListing, StoreFault>>;
  readonly cas: (req: CasRequest) => Promise<Result<CasResponse, StoreFault>>;
  readonly grantLease: (ttlMs: number) => Promise<Result<string, StoreFault>>;
  readonly renewLease: (leaseId: string) => Promise<Result<void, StoreFault>>;
  readonly revokeLease: (leaseId: string) => Promise<Result<void, StoreFault>>;
  readonly watch: (
    prefix: string,
    after: number,
    waitMs: number,
  ) => Promise<Result<WatchResponse, StoreFault>>;
}
