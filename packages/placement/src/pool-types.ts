import type { RequestClass } from '@hemlocksill/types/requests.js';

/** A completion that waits for a prefill and a decode backend server. */
export interface PlacementRequest {
  readonly id: string;
  /** Incarnation of the VM that serves the caller. */
  readonly owner: string;
  readonly workspace: string;
  readonly weight: number;
  readonly class: RequestClass;
  readonly promptTokens: number;
  /** Digests of the prompt's pieces, each covering all before it. */
  readonly pieces: readonly string[];
  readonly maxTokens: number;
  /** Time by which the first token is due. */
  readonly firstTokenDeadline: number;
}

/** What the scheduler decided for a waiting request. */
export type PlacementDecision =
  | {
      readonly kind: 'assigned';
      readonly id: string;
      readonly prefill: string;
      readonly decode: string;
    }
  | {
      readonly kind: 'refused';
      readonly id: string;
      readonly reason: 'late' | 'no-servers' | 'cancelled';
      /** Milliseconds after which a repeat is likely to be in time. */
      readonly retryAfterMs: number;
    };

/** A backend server as the document states it. */
export interface PoolMember {
  readonly name: string;
  readonly role: 'prefill' | 'decode';
  readonly dataCentre: string;
  /** Whether it may get new work. */
  readonly accepting: boolean;
}

/** Measures of a pool. */
export interface PoolLimits {
  readonly slots: number;
  readonly prefillRate: number;
  readonly pieceTokens: number;
  readonly patientShare: number;
}

/** A prefill backend server as the scheduler sees it. */
export interface PrefillState {
  readonly name: string;
  dataCentre: string;
  accepting: boolean;
  /** Time at which all work given to it should be done. */
  busyUntil: number;
  /** Expected ends by request. */
  readonly running: Map<string, number>;
  /** Pieces that it probably holds, oldest first. */
  readonly pieces: Set<string>;
}

/** A decode slot that is taken or reserved. */
export interface HeldSlot {
  readonly owner: string;
  readonly class: RequestClass;
  readonly since: number;
  expectedEnd: number;
}

/** A decode backend server as the scheduler sees it. */
export interface DecodeState {
  readonly name: string;
  dataCentre: string;
  accepting: boolean;
  readonly held: Map<string, HeldSlot>;
  /** Slots taken by requests that this scheduler did not place. */
  foreign: number;
}

/** Figures of a pool for status and reports. */
export interface PoolDescription {
  readonly queued: Readonly<Record<RequestClass, number>>;
  readonly servers: readonly { readonly name: string; readonly load: number }[];
}
