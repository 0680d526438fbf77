import type { Result } from 'neverthrow';

/** Returns the current time of a monotonic clock, in milliseconds. */
export type Clock = () => number;

/** Returns a number in [0, 1). */
export type Random = () => number;

/** Why a call to the platform's key-value store failed. */
export type StoreFault = 'unreachable' | 'timeout' | 'overloaded' | 'bad-answer' | 'lease-gone';

/** A key with its value and the store revision of its last write. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** The response to a compare-and-swap; a conflict returns the current entry. */
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

/** A change reported by a watch; the value of a deleted key is undefined. */
export interface WatchEvent {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** The response to a watch; `compacted` means that events were missed: list the keys again. */
export type WatchResponse =
  | { readonly kind: 'events'; readonly events: readonly WatchEvent[]; readonly revision: number }
  | { readonly kind: 'compacted' };

/** The entries under a prefix and the store revision at which they were read. */
export interface StoreListing {
  readonly entries: readonly StoreEntry[];
  readonly revision: number;
}

/** Port to the platform's key-value store, used by every package that persists state. */
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
