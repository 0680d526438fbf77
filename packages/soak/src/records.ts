/** What kind of request a caller sent. */
export type CallKind = 'stream' | 'confirm' | 'read';

/** A caller's request with what became of it; times on one steady clock, in milliseconds. */
export interface CallRecord {
  readonly id: string;
  readonly vm: string;
  readonly kind: CallKind;
  readonly key: string;
  readonly startedAt: number;
  endedAt: number | undefined;
  /** Undefined where the connection ended without an answer. */
  status: number | undefined;
  body: string;
  /** Whether the answer ended as a whole one. */
  isWhole: boolean;
  /** Time at which the caller closed its connection before the end. */
  leftAt: number | undefined;
}

/** A request as a backend server ran it. */
export interface RunRecord {
  readonly id: string;
  readonly server: string;
  readonly isPrefill: boolean;
  readonly workspace: string | undefined;
  readonly hasKey: boolean;
  readonly at: number;
  readonly endedAt: number | undefined;
}

/** A span of time. */
export interface Span {
  readonly from: number;
  readonly to: number;
}

/** A change that binds all VMs some time after it was acknowledged. */
export type BindingChange =
  | { readonly kind: 'key-withdrawn'; readonly key: string; readonly at: number }
  | { readonly kind: 'server-leaving'; readonly server: string; readonly at: number };

/** All that a soak recorded. */
export interface SoakRecord {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly changes: readonly BindingChange[];
  /** Times in which the store answered everybody. */
  readonly storeOutages: readonly Span[];
  /** Times in which a VM was paused, killed or starting, by VM. */
  readonly vmTroubles: ReadonlyMap<string, readonly Span[]>;
  /** Times in which connections to backend servers were harmed. */
  readonly serverTroubles: readonly Span[];
  /** VMs that were told to stop, with the time of the signal and of their end. */
  readonly stops: readonly (Span & { readonly vm: string })[];
  readonly endedAt: number;
  /** Time from which nothing was harmed any more. */
  readonly calmFrom: number;
}
