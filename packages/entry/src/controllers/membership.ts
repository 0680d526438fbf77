import type { StoreKeys } from '@hemlocksill/revisions/store-keys.js';
import { rankByRendezvous } from '@hemlocksill/peer/rendezvous.js';
import { writeAndSettle } from '@hemlocksill/store/settle-write.js';
import type { Store } from '@hemlocksill/types/ports.js';
import { readClock, repeatUntilStopped } from '../clock.js';
import type { LogEvent } from '../events.js';
import { readMember, type Member } from '../member.js';
import type { ControlWatch } from './control-watch.js';

/** Time after which the store forgets a VM that has not renewed its lease. */
export const memberLeaseMs = 6_000;
const renewMs = 2_000;

/** How long a VM that did not answer is passed over. */
const suspectMs = 3_000;

/** This VM's own lease, as far as it can be sure of it. */
export interface OwnLease {
  readonly leaseId: string;
  /** Counted from when the last successful renewal was sent. */
  readonly until: number;
}

/** Which VMs there are, and this VM's own registration. */
export interface Membership {
  readonly self: () => Member;
  /** All registered VMs, this one among them when it is registered. */
  readonly members: () => readonly Member[];
  readonly others: () => readonly Member[];
  readonly findMember: (incarnation: string) => Member | undefined;
  /** The VM responsible for a key, or undefined when none is known. */
  readonly findResponsible: (key: string) => Member | undefined;
  /** Takes in what a peer knows; it counts only while the store has shown no member. */
  readonly learnMembers: (members: readonly Member[]) => void;
  readonly suspect: (incarnation: string) => void;
  readonly lease: () => OwnLease | undefined;
  readonly storeReachable: () => boolean;
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
  let hearsay = new Map<string, Member>();
  let { self } = opts;
  let lease: OwnLease | undefined;
  let registeredState: Member['state'] | undefined;
  let reachable = true;

  watch.subscribe(keys.members, (key, entry) => {
    const incarnation = key.slice(keys.members.length);
    const member = entry && readMember(entry.value);
    if (member?.isOk()) {
      if (!known.has(incarnation)) logEvent(1105, { vm: member.value.vm, incarnation });
      known.set(incarnation, member.value);
    } else if (known.delete(incarnation)) {
      logEvent(1106, { incarnation });
    }
  });

  const setReachable = (now: boolean): void => {
    if (now !== reachable) logEvent(now ? 1102 : 1101);
    reachable = now;
  };

  const register = async (leaseId: string): Promise<void> => {
    const entry = await store.get(ownKey);
    if (entry.isErr()) return;
    const written = await writeAndSettle(store, {
      key: ownKey,
      expected: entry.value?.revision ?? 0,
      value: JSON.stringify(self),
      leaseId,
    });
    if (written.isErr() || written.value.kind !== 'written') return;
    registeredState = self.state;
    watch.learn({ key: ownKey, value: JSON.stringify(self), revision: written.value.revision });
  };

  const obtainLease = async (): Promise<void> => {
    const sentAt = readClock();
    const granted = await store.grantLease(memberLeaseMs);
    setReachable(granted.isOk());
    if (granted.isErr()) return;
    lease = { leaseId: granted.value, until: sentAt + memberLeaseMs };
    registeredState = undefined;
    logEvent(1104, { leaseId: granted.value });
  };

  const renew = async (current: OwnLease): Promise<void> => {
    const sentAt = readClock();
    const renewed = await store.renewLease(current.leaseId);
    if (renewed.isOk()) {
      lease = { ...current, until: sentAt + memberLeaseMs };
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
    if (lease && (registeredState !== self.state || !known.has(self.incarnation)))
      await register(lease.leaseId);
  };

  const table = (): ReadonlyMap<string, Member> => (known.size > 0 ? known : hearsay);
  const members = (): readonly Member[] => [...table().values()];

  return {
    self: () => self,
    members,
    others: () => members().filter((m) => m.incarnation !== self.incarnation),
    findMember: (incarnation) => table().get(incarnation),
    findResponsible: (key) => {
      const now = readClock();
      const usable = members().filter(
        (m) => m.state === 'serving' && (suspects.get(m.incarnation) ?? 0) <= now,
      );
      const ranked = rankByRendezvous(
        usable.map((m) => m.incarnation),
        key,
      );
      return table().get(ranked[0] ?? '');
    },
    learnMembers: (heard) => {
      hearsay = new Map(heard.map((m) => [m.incarnation, m]));
      hearsay.set(self.incarnation, self);
    },
    suspect: (incarnation) => {
      suspects.set(incarnation, readClock() + suspectMs);
    },
    lease: () => lease,
    storeReachable: () => reachable,
    setState: async (state) => {
      self = { ...self, state };
      if (lease) await register(lease.leaseId);
    },
    start: async (signal) => {
      await keepRegistered();
      void repeatUntilStopped(renewMs, signal, keepRegistered);
    },
    leave: async () => {
      if (lease) await store.revokeLease(lease.leaseId);
    },
  };
};
