import { z } from 'zod';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import { throwInvalidParams, type PeerMethod } from '@hemlocksill/peer/peer-server.js';
import { readClock } from '../clock.js';
import type { EngineClient, EngineHold } from '../engine-client.js';
import type { LogEvent } from '../events.js';
import type { EmitMetric } from '../metrics.js';
import type { RequestTable } from '../request-table.js';
import type { Membership } from './membership.js';

const callTimeoutMs = 1_000;

/** How long a caller may resume a stream after its VM has stopped. */
export const resumeGraceMs = 10_000;

/** Minimum time between two searches of one engine. */
const searchPeriodMs = 2_000;

/** Minimum age of a hold before its owner is queried about it. */
const minHoldAgeMs = 1_500;

/** Margin beyond the maximum request time after which any hold counts as an orphan. */
const overdueMarginMs = 10_000;

/** Finds and cancels orphans: memory that engines hold for requests that no longer run. */
export interface Orphans {
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** Checks the holds of one engine and cancels orphans. */
  readonly search: (
    url: string,
    holds: readonly EngineHold[],
    maxRequestMs: number,
  ) => Promise<void>;
}

/** Dependencies of the orphan search. */
export interface OrphansOptions {
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly engines: EngineClient;
  readonly table: RequestTable;
  readonly logEvent: LogEvent;
  readonly emit: EmitMetric;
}

const idsSchema = z.object({ ids: z.array(z.string()) });

/** Creates the search for orphaned holds. */
export const makeOrphans = (opts: OrphansOptions): Orphans => {
  const { membership, peers, engines, table, logEvent, emit } = opts;
  const missingSince = new Map<string, number>();
  const searchedAt = new Map<string, number>();

  const cancel = async (url: string, hold: EngineHold, reason: string): Promise<void> => {
    const cancelled = await engines.cancel(url, hold.id);
    if (cancelled.isErr()) return;
    logEvent(1503, { url, id: hold.id, reason, ageMs: Math.round(hold.ageMs) });
    emit('orphans.cancelled', 1, { reason });
  };

  /** Returns the ids that their owner does not know; empty if the owner does not reply. */
  const queryDeniedIds = async (owner: string, ids: readonly string[]): Promise<Set<string>> => {
    if (owner === membership.self().incarnation)
      return new Set(ids.filter((id) => !table.isLive(id)));
    const member = membership.findMember(owner);
    if (!member) return new Set();
    const reply = await peers.call(member.peers, 'requests.denied', { ids }, callTimeoutMs);
    if (reply.isErr() || reply.value.from.incarnation !== owner) return new Set();
    const parsed = z.array(z.string()).safeParse(reply.value.value);
    return new Set(parsed.success ? parsed.data : []);
  };

  /** Whether an owner has been missing for the grace period and is not registered. */
  const isOwnerGone = async (owner: string): Promise<boolean> => {
    if (membership.findMember(owner) || owner === membership.self().incarnation) {
      missingSince.delete(owner);
      return false;
    }
    const since = missingSince.get(owner) ?? readClock();
    missingSince.set(owner, since);
    if (readClock() - since < resumeGraceMs) return false;
    return (await membership.isRegistered(owner)) === false;
  };

  const searchOwnerHolds = async (
    url: string,
    owner: string,
    holds: readonly EngineHold[],
  ): Promise<void> => {
    const isGone = await isOwnerGone(owner);
    const deniedIds = isGone
      ? new Set(holds.map((h) => h.id))
      : await queryDeniedIds(
          owner,
          holds.map((h) => h.id),
        );
    const reason = isGone ? 'owner-gone' : 'denied';
    await Promise.all(holds.filter((h) => deniedIds.has(h.id)).map((h) => cancel(url, h, reason)));
  };

  return {
    methods: {
      'requests.denied': (params) => {
        const parsed = idsSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('ids expected');
        return Promise.resolve(parsed.data.ids.filter((id) => !table.isLive(id)));
      },
    },
    search: async (url, holds, maxRequestMs) => {
      if (readClock() - (searchedAt.get(url) ?? Number.NEGATIVE_INFINITY) < searchPeriodMs) return;
      searchedAt.set(url, readClock());
      const overdueHolds = holds.filter((h) => h.ageMs > maxRequestMs + overdueMarginMs);
      await Promise.all(overdueHolds.map((h) => cancel(url, h, 'overdue')));
      const holdsByOwner = new Map<string, EngineHold[]>();
      holds
        .filter((h) => h.ageMs > minHoldAgeMs && !overdueHolds.includes(h))
        .forEach((h) => holdsByOwner.set(h.owner, [...(holdsByOwner.get(h.owner) ?? []), h]));
      await Promise.all(
        [...holdsByOwner].map(([owner, ownerHolds]) => searchOwnerHolds(url, owner, ownerHolds)),
      );
    },
  };
};
