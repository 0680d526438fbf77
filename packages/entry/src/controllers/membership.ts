import type { StoreKeys } from '@hemlocksill/revisions/store-keys.js';
import { rankByRendezvous } from '@hemlocksill/peer/rendezvous.js';
import { writeAndSettle } from '@hemlocksill/store/settle-write.js';
import type { Store } from '@hemlocksill/types/ports.js';
import { readClock, sleepUntil } from '../clock.js';
import type { LogEvent } from '../events.js';
import { parseMember, type Member } from '../member.js';
import type { ControlWatch } from './control-watch.js';

/** Minimum time after which the store drops a VM that has not renewed its lease. */
const minLeaseMs = 4_000;
const maxLeaseMs = 60_000;

/** Lease renewals per second that all VMs together may send to the store. */
const maxRenewalsPerSecond = 40;
const renewalsPerLease = 3;

/**
 * Chooses the lease time in milliseconds so that the renewals of a large fleet stay within
 * the rate that the store allows.
 *
 * @example
 * getLeaseMs(8); // 4000
 * getLeaseMs(390); // 29250
 */
export const getLeaseMs = (memberCount: number): number => {
  const requiredMs = (memberCount * renewalsPerLease * 1_000) / maxRenewalsPerSecond;
  return Math.min(maxLeaseMs, Math.max(minLeaseMs, requiredMs));
};

/** How long a VM that did not reply counts as suspected. */
const suspectMs = 3_000;

/** The lease of this VM; it is certainly valid until `until`. */
export interface LocalLease {
  readonly leaseId: string;
  /** End of the lease, counted from when the last successful renewal was sent. */
  readonly until: number;
  readonly ttlMs: number;
}

/** The list of all VMs, and the registration of this VM. */
export interface Membership {
  readonly self: () => Member;
  /**
   * All registered VMs, including this one if it is registered, and VMs whose registration
   * has expired although they still reply.
   */
  readonly members: () => readonly Member[];
  readonly others: () => readonly Member[];
  readonly findMember: (incarnation: string) => Member | undefined;
  /** Whether the store lists a VM, according to the watch. */
  readonly isListed: (incarnation: string) => boolean;
  /** The VM responsible for a key, or undefined when none is known. */
  readonly findResponsible: (key: string) => Member | undefined;
  /** Records the members that a peer knows; used only while the store has listed none. */
  readonly recordPeerMembers: (members: readonly Member[]) => void;
  readonly markSuspect: (incarnation: string) => void;
  /** Whether a VM has recently failed to reply. */
  readonly isSuspect: (incarnation: string) => boolean;
  /** The lease under which this VM is registered; undefined while it is not. */
  readonly lease: () => LocalLease | undefined;
  /** Reads from the store whether a VM is registered now; undefined if the read fails. */
  readonly isRegistered: (incarnation: string) => Promise<boolean | undefined>;
  readonly isStoreReachable: () => boolean;
  /** Start of the current period in which the store is reachable; infinity while it is not. */
  readonly storeReachableSince: () => number;
  readonly setState: (state: Member['state']) => Promise<void>;
  readonly start: (signal: AbortSignal) => Promise<void>;
  readonly leave: () => Promise<void>;
}

/** Dependencies of the membership controller. */
export interface MembershipOptions {
  readonly store: Store;
  readonly keys: StoreKeys;
  readonly watch: ControlWatch;
  readonly self: Member;
  readonly logEvent: LogEvent;
}

/** Registers this VM under a lease and keeps the list of the other VMs. */
export const makeMembership = (opts: MembershipOptions): Membership => {
  const { store, keys, watch, logEvent } = opts;
  const selfKey = `${keys.members}${opts.self.incarnation}`;
  const listedMembers = new Map<string, Member>();
  const suspectedUntil = new Map<string, number>();
  /** VMs that the store has dropped although they were serving and not suspected. */
  const unlistedMembers = new Map<string, Member>();
  let peerReportedMembers = new Map<string, Member>();
  let { self } = opts;
  let lease: LocalLease | undefined;
  let registration: { readonly leaseId: string; readonly state: Member['state'] } | undefined;
  let storeReachable = false;
  let storeReachableSince = Number.POSITIVE_INFINITY;

  watch.subscribe(keys.members, (key, entry) => {
    rankings.clear();
    const incarnation = key.slice(keys.members.length);
    const member = entry && parseMember(entry.value);
    if (member?.isOk()) {
      if (!listedMembers.has(incarnation)) logEvent(1105, { vm: member.value.vm, incarnation });
      listedMembers.set(incarnation, member.value);
      unlistedMembers.delete(incarnation);
      return;
    }
    const removed = listedMembers.get(incarnation);
    if (!removed) return;
    listedMembers.delete(incarnation);
    if (removed.state === 'serving' && !isSuspect(incarnation))
      unlistedMembers.set(incarnation, removed);
    logEvent(1106, { incarnation });
  });

  const setReachable = (isReachable: boolean): void => {
    if (isReachable === storeReachable) return;
    logEvent(isReachable ? 1102 : 1101);
    storeReachable = isReachable;
    storeReachableSince = isReachable ? readClock() : Number.POSITIVE_INFINITY;
    if (isReachable) void watch.relist();
  };

  const register = async (leaseId: string): Promise<void> => {
    const { state } = self;
    const entry = await store.get(selfKey);
    if (entry.isErr()) return;
    const written = await writeAndSettle(store, {
      key: selfKey,
      expected: entry.value?.revision ?? 0,
      value: JSON.stringify(self),
      leaseId,
    });
    if (written.isErr() || written.value.kind !== 'written') return;
    registration = { leaseId, state };
    watch.applyEntry({
      key: selfKey,
      value: JSON.stringify(self),
      revision: written.value.revision,
    });
  };

  const obtainLease = async (): Promise<void> => {
    const sentAt = readClock();
    const ttlMs = getLeaseMs(listedMembers.size);
    const granted = await store.grantLease(ttlMs);
    setReachable(granted.isOk());
    if (granted.isErr()) return;
    lease = { leaseId: granted.value, until: sentAt + ttlMs, ttlMs };
    logEvent(1104, { leaseId: granted.value });
  };

  const renew = async (current: LocalLease): Promise<void> => {
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

  const renewRegistration = async (): Promise<void> => {
    if (lease) await renew(lease);
    else await obtainLease();
    const isCurrent =
      registration?.leaseId === lease?.leaseId && registration?.state === self.state;
    if (lease && !(isCurrent && listedMembers.has(self.incarnation))) await register(lease.leaseId);
  };

  const renewPeriodically = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const ttlMs = lease?.ttlMs ?? minLeaseMs;
      await sleepUntil(readClock() + ttlMs / renewalsPerLease, signal);
      await renewRegistration();
    }
  };

  const isSuspect = (incarnation: string): boolean =>
    (suspectedUntil.get(incarnation) ?? 0) > readClock();

  const getMemberTable = (): ReadonlyMap<string, Member> => {
    if (listedMembers.size === 0 && unlistedMembers.size === 0) return peerReportedMembers;
    return unlistedMembers.size === 0
      ? listedMembers
      : new Map([...unlistedMembers, ...listedMembers]);
  };
  const listMembers = (): readonly Member[] => [...getMemberTable().values()];

  const rankings = new Map<string, readonly Member[]>();

  /** Ranks all members for a key; cached until a member changes, as each rank costs a hash. */
  const rankMembers = (key: string): readonly Member[] => {
    const cached = rankings.get(key);
    if (cached) return cached;
    const incarnations = listMembers().map((m) => m.incarnation);
    const ranked = rankByRendezvous(incarnations, key).flatMap(
      (incarnation) => getMemberTable().get(incarnation) ?? [],
    );
    rankings.set(key, ranked);
    return ranked;
  };

  return {
    self: () => self,
    members: listMembers,
    others: () => listMembers().filter((m) => m.incarnation !== self.incarnation),
    findMember: (incarnation) => getMemberTable().get(incarnation),
    findResponsible: (key) => {
      const ranked = rankMembers(key);
      return ranked.find((m) => m.state === 'serving' && !isSuspect(m.incarnation));
    },
    recordPeerMembers: (reported) => {
      rankings.clear();
      peerReportedMembers = new Map(reported.map((m) => [m.incarnation, m]));
      peerReportedMembers.set(self.incarnation, self);
    },
    isListed: (incarnation) => listedMembers.has(incarnation),
    markSuspect: (incarnation) => {
      if (unlistedMembers.delete(incarnation)) rankings.clear();
      suspectedUntil.set(incarnation, readClock() + suspectMs);
    },
    isSuspect,
    lease: () => (registration?.leaseId === lease?.leaseId ? lease : undefined),
    isRegistered: async (incarnation) => {
      const entry = await store.get(`${keys.members}${incarnation}`);
      return entry.isOk() ? entry.value !== undefined : undefined;
    },
    isStoreReachable: () => storeReachable,
    storeReachableSince: () => storeReachableSince,
    setState: async (state) => {
      self = { ...self, state };
      if (lease) await register(lease.leaseId);
    },
    start: async (signal) => {
      await renewRegistration();
      void renewPeriodically(signal);
    },
    leave: async () => {
      if (lease) await store.revokeLease(lease.leaseId);
    },
  };
};
