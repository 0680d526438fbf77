import type { StoreKeys } from '@hemlocksill/revisions/store-keys.js';
import { rankByRendezvous } from '@hemlocksill/peer/rendezvous.js';
import { writeAndSettle } from '@hemlocksill/store/settle-write.js';
import type { Store } from '@hemlocksill/types/ports.js';
import { readClock, sleepUntil } from '../clock.js';
import type { LogEvent } from '../events.js';
import { readMember, type Member } from '../member.js';
import type { ControlWatch } from './control-watch.js';

/** Shortest time after which the store forgets a VM that has not renewed its lease. */
const shortestLeaseMs = 4_000;
const longestLeaseMs = 60_000;

/** Renewals that all VMs together may send to the store in a second. */
const renewalsPerSecond = 40;
const renewalsPerLease = 3;

/**
 * Chooses a lease's time so that the renewals of a large fleet stay within the store's rate.
 *
 * @example
 * getLeaseMs(8); // 4000
 * getLeaseMs(390); // 29250
 */
export const getLeaseMs = (members: number): number => {
  const needed = (members * renewalsPerLease * 1_000) / renewalsPerSecond;
  return Math.min(longestLeaseMs, Math.max(shortestLeaseMs, needed));
};

/** How long a VM that did not answer is passed over. */
const suspectMs = 3_000;

/** This VM's own lease, as far as it can be sure of it. */
export interface OwnLease {
  readonly leaseId: string;
  /** Counted from when the last successful renewal was sent. */
  readonly until: number;
  readonly ttlMs: number;
}

/** Which VMs there are, and this VM's own registration. */
export interface Membership {
  readonly self: () => Member;
  /**
   * All registered VMs, this one among them when it is registered, and those whose
   * registration has lapsed while they still answer.
   */
  readonly members: () => readonly Member[];
  readonly others: () => readonly Member[];
  readonly findMember: (incarnation: string) => Member | undefined;
  /** Whether the store lists a VM, as far as the watch has told. */
  readonly isListed: (incarnation: string) => boolean;
  /** The VM responsible for a key, or undefined when none is known. */
  readonly findResponsible: (key: string) => Member | undefined;
  /** Takes in what a peer knows; it counts only while the store has shown no member. */
  readonly learnMembers: (members: readonly Member[]) => void;
  readonly suspect: (incarnation: string) => void;
  /** Whether a VM has lately not answered. */
  readonly isSuspect: (incarnation: string) => boolean;
  /** The lease under which this VM is registered; undefined while it is not. */
  readonly lease: () => OwnLease | undefined;
  /** Asks the store whether a VM is registered now; undefined without an answer. */
  readonly isRegistered: (incarnation: string) => Promise<boolean | undefined>;
  readonly storeReachable: () => boolean;
  /** Since when the store has answered without a break; infinity while it does not. */
  readonly storeReachableSince: () => number;
  readonly setState: (state: Member['state']) => Promise<void>;
  readonly start: (signal: AbortSignal) => Promise<void>;
  readonly leave: () => Promise<void>;
}

/** What membership needs. */
export interface MembershipOptions {
  readonly store: Store;
  readonly keys: StoreKeys;
  readonly watch: ControlWatch;
  readonly self: Member;
  readonly logEvent: LogEvent;
}

/** Registers this VM under a lease and keeps the list of the others. */
export const makeMembership = (opts: MembershipOptions): Membership => {
  const { store, keys, watch, logEvent } = opts;
  const ownKey = `${keys.members}${opts.self.incarnation}`;
  const known = new Map<string, Member>();
  const suspects = new Map<string, number>();
  /** VMs that the store has dropped although they answered a moment ago. */
  const lingering = new Map<string, Member>();
  let hearsay = new Map<string, Member>();
  let { self } = opts;
  let lease: OwnLease | undefined;
  let registered: { readonly leaseId: string; readonly state: Member['state'] } | undefined;
  let reachable = false;
  let reachableSince = Number.POSITIVE_INFINITY;

  watch.subscribe(keys.members, (key, entry) => {
    rankings.clear();
    const incarnation = key.slice(keys.members.length);
    const member = entry && readMember(entry.value);
    if (member?.isOk()) {
      if (!known.has(incarnation)) logEvent(1105, { vm: member.value.vm, incarnation });
      known.set(incarnation, member.value);
      lingering.delete(incarnation);
      return;
    }
    const dropped = known.get(incarnation);
    if (!dropped) return;
    known.delete(incarnation);
    if (dropped.state === 'serving' && !isSuspect(incarnation)) lingering.set(incarnation, dropped);
    logEvent(1106, { incarnation });
  });

  const setReachable = (now: boolean): void => {
    if (now === reachable) return;
    logEvent(now ? 1102 : 1101);
    reachable = now;
    reachableSince = now ? readClock() : Number.POSITIVE_INFINITY;
    if (now) void watch.relist();
  };

  const register = async (leaseId: string): Promise<void> => {
    const { state } = self;
    const entry = await store.get(ownKey);
    if (entry.isErr()) return;
    const written = await writeAndSettle(store, {
      key: ownKey,
      expected: entry.value?.revision ?? 0,
      value: JSON.stringify(self),
      leaseId,
    });
    if (written.isErr() || written.value.kind !== 'written') return;
    registered = { leaseId, state };
    watch.learn({ key: ownKey, value: JSON.stringify(self), revision: written.value.revision });
  };

  const obtainLease = async (): Promise<void> => {
    const sentAt = readClock();
    const ttlMs = getLeaseMs(known.size);
    const granted = await store.grantLease(ttlMs);
    setReachable(granted.isOk());
    if (granted.isErr()) return;
    lease = { leaseId: granted.value, until: sentAt + ttlMs, ttlMs };
    logEvent(1104, { leaseId: granted.value });
  };

  const renew = async (current: OwnLease): Promise<void> => {
    const sentAt = readClock();
    const renewed = await store.renewLease(current.leaseId);
    if (renewed.isOk()) {
      lease = { ...current, until: sentAt + current.ttlMs };
    } else if (renewed.error === 'lease-gone') {
      logEvent(1103);
      lease = undefined;
      await obtainLease();
    }
    setReachable(renewed.isOk() || renewed.error === 'lease-gone');
  };

  const keepRegistered = async (): Promise<void> => {
    if (lease) await renew(lease);
    else await obtainLease();
    const isCurrent = registered?.leaseId === lease?.leaseId && registered?.state === self.state;
    if (lease && !(isCurrent && known.has(self.incarnation))) await register(lease.leaseId);
  };

  const keepRegisteredForever = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const ttlMs = lease?.ttlMs ?? shortestLeaseMs;
      await sleepUntil(readClock() + ttlMs / renewalsPerLease, signal);
      await keepRegistered();
    }
  };

  const isSuspect = (incarnation: string): boolean =>
    (suspects.get(incarnation) ?? 0) > readClock();

  const table = (): ReadonlyMap<string, Member> => {
    if (known.size === 0 && lingering.size === 0) return hearsay;
    return lingering.size === 0 ? known : new Map([...lingering, ...known]);
  };
  const members = (): readonly Member[] => [...table().values()];

  const rankings = new Map<string, readonly Member[]>();

  /** Ranks all members for a key; kept until a member changes, as each rank is a hash. */
  const rank = (key: string): readonly Member[] => {
    const kept = rankings.get(key);
    if (kept) return kept;
    const names = members().map((m) => m.incarnation);
    const ranked = rankByRendezvous(names, key).flatMap((name) => table().get(name) ?? []);
    rankings.set(key, ranked);
    return ranked;
  };

  return {
    self: () => self,
    members,
    others: () => members().filter((m) => m.incarnation !== self.incarnation),
    findMember: (incarnation) => table().get(incarnation),
    findResponsible: (key) => {
      const ranked = rank(key);
      return ranked.find((m) => m.state === 'serving' && !isSuspect(m.incarnation));
    },
    learnMembers: (heard) => {
      rankings.clear();
      hearsay = new Map(heard.map((m) => [m.incarnation, m]));
      hearsay.set(self.incarnation, self);
    },
    isListed: (incarnation) => known.has(incarnation),
    suspect: (incarnation) => {
      if (lingering.delete(incarnation)) rankings.clear();
      suspects.set(incarnation, readClock() + suspectMs);
    },
    isSuspect,
    lease: () => (registered?.leaseId === lease?.leaseId ? lease : undefined),
    isRegistered: async (incarnation) => {
      const entry = await store.get(`${keys.members}${incarnation}`);
      return entry.isOk() ? entry.value !== undefined : undefined;
    },
    storeReachable: () => reachable,
    storeReachableSince: () => reachableSince,
    setState: async (state) => {
      self = { ...self, state };
      if (lease) await register(lease.leaseId);
    },
    start: async (signal) => {
      await keepRegistered();
      void keepRegisteredForever(signal);
    },
    leave: async () => {
      if (lease) await store.revokeLease(lease.leaseId);
    },
  };
};
