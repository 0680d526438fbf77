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
  /** Digests of the prompt's pieces; each digest also covers all pieces before it. */
  readonly pieces: readonly string[];
  readonly maxTokens: number;
  /** Time at which the first token is due. */
  readonly firstTokenDeadline: number;
}

/** The scheduler's decision on a request. The field names are sent to peers. */
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
      /** Milliseconds after which a retry is likely to be in time. */
      readonly retryAfterMs: number;
    };

/** A backend server of the pool, as the configuration document defines it. */
export interface PoolMember {
  readonly name: string;
  readonly role: 'prefill' | 'decode';
  readonly dataCentre: string;
  /** Whether it accepts new requests. */
  readonly isAccepting: boolean;
}

/** Capacity and limits of a pool. */
export interface PoolLimits {
  /** Slots of each decode server. */
  readonly slots: number;
  /** Prompt tokens per second of each prefill server. */
  readonly prefillRate: number;
  /** Prompt tokens of one piece. */
  readonly pieceTokens: number;
  /** Share of all decode slots that patient requests get while urgent ones wait. */
  readonly patientShare: number;
}

/** A prefill backend server as the scheduler sees it. */
export interface PrefillState {
  readonly name: string;
  dataCentre: string;
  isAccepting: boolean;
  /** Expected end of all prefills assigned to it. */
  busyUntil: number;
  /** Expected end of each running prefill, by request. */
  readonly runningPrefills: Map<string, number>;
  /** Pieces that its prefix cache probably contains, least recently used first. */
  readonly pieces: Set<string>;
}

/** A decode slot that is in use or reserved. */
export interface OccupiedSlot {
  readonly owner: string;
  readonly class: RequestClass;
  readonly startedAt: number;
  expectedEnd: number;
}

/** A decode backend server as the scheduler sees it. */
export interface DecodeState {
  readonly name: string;
  dataCentre: string;
  isAccepting: boolean;
  readonly occupiedSlots: Map<string, OccupiedSlot>;
  /** Slots used by requests that this scheduler did not place. */
  externalSlots: number;
}

/** State of a pool for status and reports. The field names are part of the status output. */
export interface PoolDescription {
  readonly queued: Readonly<Record<RequestClass, number>>;
  readonly servers: readonly { readonly name: string; readonly load: number }[];
}
