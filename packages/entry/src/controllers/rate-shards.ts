import { randomBytes } from 'node:crypto';
import { z } from 'zod';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import { throwInvalidParams, type PeerMethod } from '@hemlocksill/peer/peer-server.js';
import { rankByRendezvous } from '@hemlocksill/peer/rendezvous.js';
import { grantHoldsMs } from '@hemlocksill/rate/bucket.js';
import { makeHolder, readLevels, type Holder } from '@hemlocksill/rate/holder.js';
import {
  getRightDeadline,
  mayTakeOver,
  promiseHoldsMs,
  readShardRecord,
  shardCount,
  type ShardRecord,
} from '@hemlocksill/rate/shard-record.js';
import type { StoreKeys } from '@hemlocksill/revisions/store-keys.js';
import { writeAndSettle } from '@hemlocksill/store/settle-write.js';
import type { Store } from '@hemlocksill/types/ports.js';
import { readClock, repeatUntilStopped } from '../clock.js';
import type { LogEvent } from '../events.js';
import type { Member } from '../member.js';
import type { ControlWatch } from './control-watch.js';
import type { Membership } from './membership.js';
import { makePromiseBook } from './promise-book.js';

const periodMs = 250;
const callTimeoutMs = 800;
const promisePeriodMs = 1_000;

/** Shards taken or handed over in one pass, so that store writes come spread out. */
const changesPerPass = 4;

/** How long a named successor waits for the levels before it starts empty. */
const handoverWaitMs = 1_500;

/** A VM must have been known for so long before shards are handed to it. */
const settleMs = 3_000;

interface OwnShard {
  readonly holder: Holder;
  readonly record: ShardRecord;
  readonly storeRevision: number;
  readonly leaseId: string;
  readonly promises: Map<string, number>;
  readonly votersSure: boolean;
}

/** Who holds the rate of which workspaces. */
export interface RateShards {
  /** The holder on this VM, if its right is valid now. */
  readonly findOwn: (shard: number) => Holder | undefined;
  /** The VM that the store names as the holder, with its epoch. */
  readonly findHolder: (shard: number) => { member: Member; epoch: number } | undefined;
  readonly countOwn: () => number;
  readonly methods: Readonly<Record<string, PeerMethod>>;
  readonly start: (signal: AbortSignal) => void;
  /** Hands all shards over before this VM leaves. */
  readonly handOverAll: () => Promise<void>;
}

/** What the shards controller needs. */
export interface RateShardsOptions {
  readonly store: Store;
  readonly keys: StoreKeys;
  readonly watch: ControlWatch;
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly logEvent: LogEvent;
}

const handoverSchema = z.object({
  shard: z.number().int(),
  epoch: z.number().int(),
  levels: z.array(z.tuple([z.string(), z.number()])),
  /** The store entry of the record, in case the watch is behind. */
  entry: z.object({ key: z.string(), value: z.string(), revision: z.number() }),
});

const makeWriteId = (): string => randomBytes(8).toString('hex');

/** Takes, keeps, extends and hands over the shards of workspaces' rates. */
export const makeRateShards = (opts: RateShardsOptions): RateShards => {
  const { store, keys, watch, membership, peers, logEvent } = opts;
  const own = new Map<number, OwnShard>();
  const records = new Map<number, { record: ShardRecord; storeRevision: number }>();
  const goneSince = new Map<number, { epoch: number; since: number }>();
  const handedLevels = new Map<number, { epoch: number; levels: Map<string, number> }>();
  const namedSince = new Map<number, { epoch: number; since: number }>();
  const firstSeen = new Map<string, number>();
  const promiseBook = makePromiseBook();
  let leaving = false;
  let extended = false;

  const shardKey = (shard: number): string => `${keys.rateShards}${shard}`;
  const selfId = (): string => membership.self().incarnation;
  const listVoters = (): string[] => membership.members().map((m) => m.incarnation);

  const dropOwn = (shard: number): void => {
    if (own.delete(shard)) logEvent(1303, { shard });
  };

  watch.subscribe(keys.rateShards, (key, entry) => {
    const shard = Number(key.slice(keys.rateShards.length));
    const parsed = entry && readShardRecord(entry.value);
    if (!entry || !parsed?.isOk()) {
      records.delete(shard);
      return;
    }
    records.set(shard, { record: parsed.value, storeRevision: entry.revision });
    const mine = own.get(shard);
    if (mine && parsed.value.epoch > mine.record.epoch) dropOwn(shard);
  });

  const getOwnDeadline = (shard: OwnShard): number => {
    const lease = membership.lease();
    // A shard taken under an earlier lease is not covered by a newer one.
    const leaseUntil = lease?.leaseId === shard.leaseId ? lease.until : Number.NEGATIVE_INFINITY;
    if (!shard.votersSure || leaseUntil === Number.NEGATIVE_INFINITY) return leaseUntil;
    return getRightDeadline(leaseUntil, [...shard.promises.values()], shard.record.voters);
  };

  const adoptShard = (
    record: ShardRecord,
    storeRevision: number,
    leaseId: string,
    levels: ReadonlyMap<string, number> | 'full',
  ): void => {
    const fillsFrom = readClock() + grantHoldsMs;
    own.set(record.shard, {
      holder: makeHolder(record.shard, record.epoch, fillsFrom, levels),
      record,
      storeRevision,
      leaseId,
      promises: new Map(),
      votersSure: true,
    });
    logEvent(1301, { shard: record.shard, epoch: record.epoch });
  };

  const writeRecord = async (
    shard: number,
    record: ShardRecord,
    expected: number,
  ): Promise<number | undefined> => {
    const value = JSON.stringify(record);
    const written = await writeAndSettle(store, { key: shardKey(shard), expected, value });
    if (written.isErr()) return undefined;
    if (written.value.kind === 'written') {
      watch.learn({ key: shardKey(shard), value, revision: written.value.revision });
      return written.value.revision;
    }
    if (written.value.value !== undefined)
      watch.learn({
        key: shardKey(shard),
        value: written.value.value,
        revision: written.value.revision,
      });
    return undefined;
  };

  const collectConsents = async (shard: number, record: ShardRecord): Promise<string[]> => {
    const epoch = record.epoch + 1;
    const consents: string[] = [];
    await Promise.all(
      record.voters.map(async (voter) => {
        if (voter === selfId()) {
          if (promiseBook.consent(shard, epoch, readClock())) consents.push(voter);
          return;
        }
        const member = membership.findMember(voter);
        if (!member) return;
        const answer = await peers.call(
          member.peers,
          'rate.consent',
          { shard, epoch },
          callTimeoutMs,
        );
        if (answer.isOk() && answer.value.value === true && answer.value.from.incarnation === voter)
          consents.push(voter);
      }),
    );
    return consents;
  };

  const takeOver = async (shard: number, levels: ReadonlyMap<string, number>): Promise<void> => {
    const lease = membership.lease();
    const known = records.get(shard);
    if (!lease || lease.until <= readClock()) return;
    if (known && known.record.incarnation !== selfId()) {
      const since = goneSince.get(shard);
      const view = {
        holderGone: true,
        goneSince: since?.since ?? readClock(),
        consents: await collectConsents(shard, known.record),
        voters: known.record.voters,
      };
      if (!mayTakeOver(view, readClock())) return;
    }
    const record: ShardRecord = {
      shard,
      epoch: (known?.record.epoch ?? 0) + 1,
      vm: membership.self().vm,
      incarnation: selfId(),
      voters: listVoters(),
      writeId: makeWriteId(),
    };
    const revision = await writeRecord(shard, record, known?.storeRevision ?? 0);
    if (revision === undefined) return;
    adoptShard(record, revision, lease.leaseId, known ? levels : 'full');
  };

  const handOver = async (shard: number, mine: OwnShard, to: Member): Promise<void> => {
    own.delete(shard);
    const levels = [...readLevels(mine.holder, readClock())];
    const record: ShardRecord = {
      ...mine.record,
      epoch: mine.record.epoch + 1,
      vm: to.vm,
      incarnation: to.incarnation,
      voters: listVoters(),
      writeId: makeWriteId(),
    };
    const revision = await writeRecord(shard, record, mine.storeRevision);
    if (revision === undefined) return;
    await peers.call(
      to.peers,
      'rate.hand-over',
      {
        shard,
        epoch: record.epoch,
        levels,
        entry: { key: shardKey(shard), value: JSON.stringify(record), revision },
      },
      callTimeoutMs,
    );
    logEvent(1302, { shard, to: to.vm });
  };

  const findPreferred = (shard: number): Member | undefined => {
    const now = readClock();
    const settled = membership.members().filter((m) => {
      const since = firstSeen.get(m.incarnation) ?? now;
      firstSeen.set(m.incarnation, since);
      const isSelf = m.incarnation === selfId();
      return m.state === 'serving' && !(isSelf && leaving) && (isSelf || now - since >= settleMs);
    });
    const names = settled.map((m) => m.incarnation);
    const first = rankByRendezvous(names, `rate/${shard}`)[0];
    return settled.find((m) => m.incarnation === first);
  };

  const updateVoters = async (shard: number, mine: OwnShard): Promise<boolean> => {
    const voters = listVoters();
    const same =
      voters.length === mine.record.voters.length &&
      voters.every((v) => mine.record.voters.includes(v));
    if (same || !membership.storeReachable()) return false;
    const record = { ...mine.record, voters, writeId: makeWriteId() };
    own.set(shard, { ...mine, votersSure: false });
    const revision = await writeRecord(shard, record, mine.storeRevision);
    const now = own.get(shard);
    if (revision !== undefined && now?.record.epoch === mine.record.epoch)
      own.set(shard, {
        ...now,
        record,
        storeRevision: revision,
        promises: new Map(),
        votersSure: true,
      });
    else if (revision === undefined) await reviewOwn(shard);
    return true;
  };

  /** Reads the record again after a write of unknown outcome. */
  const reviewOwn = async (shard: number): Promise<void> => {
    const entry = await store.get(shardKey(shard));
    const mine = own.get(shard);
    if (entry.isErr() || !entry.value || !mine) return;
    const parsed = readShardRecord(entry.value.value);
    watch.learn(entry.value);
    if (!parsed.isOk() || parsed.value.incarnation !== selfId()) {
      dropOwn(shard);
      return;
    }
    own.set(shard, {
      ...mine,
      record: parsed.value,
      storeRevision: entry.value.revision,
      promises: new Map(),
      votersSure: true,
    });
  };

  /**
   * Takes a shard that the record gives to this VM. It is written once more, so that
   * nobody can have taken it since.
   */
  const takeNamed = async (shard: number, record: ShardRecord): Promise<boolean> => {
    const handed = handedLevels.get(shard);
    if (handed?.epoch === record.epoch) {
      handedLevels.delete(shard);
      await takeOver(shard, handed.levels);
      return true;
    }
    const named = namedSince.get(shard);
    if (named?.epoch !== record.epoch) {
      namedSince.set(shard, { epoch: record.epoch, since: readClock() });
      return false;
    }
    if (readClock() - named.since < handoverWaitMs) return false;
    await takeOver(shard, new Map());
    return true;
  };

  const isHolderGone = (record: ShardRecord): boolean =>
    membership.findMember(record.incarnation) === undefined;

  /** Looks after one shard; tells whether it wrote to the store. */
  const tend = async (shard: number): Promise<boolean> => {
    const mine = own.get(shard);
    const preferred = findPreferred(shard);
    if (mine) {
      const lease = membership.lease();
      if (lease !== undefined && lease.leaseId !== mine.leaseId) {
        dropOwn(shard);
        return false;
      }
      if (!mine.votersSure) {
        await reviewOwn(shard);
        return true;
      }
      if (preferred && preferred.incarnation !== selfId() && membership.storeReachable()) {
        await handOver(shard, mine, preferred);
        return true;
      }
      return updateVoters(shard, mine);
    }
    const known = records.get(shard);
    if (known?.record.incarnation === selfId()) return !leaving && takeNamed(shard, known.record);
    if (preferred?.incarnation !== selfId() || leaving) return false;
    if (known && !isHolderGone(known.record)) {
      goneSince.delete(shard);
      return false;
    }
    if (known && goneSince.get(shard)?.epoch !== known.record.epoch)
      goneSince.set(shard, { epoch: known.record.epoch, since: readClock() });
    await takeOver(shard, new Map());
    return true;
  };

  const tendAll = async (): Promise<void> => {
    let changes = 0;
    for (let shard = 0; shard < shardCount && changes < changesPerPass; shard += 1) {
      if (await tend(shard)) changes += 1;
    }
  };

  const askPromises = async (): Promise<void> => {
    if (membership.storeReachable() || own.size === 0) {
      extended = false;
      return;
    }
    const asked = [...own].map(([shard, mine]) => [shard, mine.record.epoch] as const);
    const sentAt = readClock();
    await Promise.all(
      membership.others().map(async (member) => {
        const answer = await peers.call(
          member.peers,
          'rate.promise',
          { shards: asked },
          callTimeoutMs,
        );
        if (answer.isErr() || !Array.isArray(answer.value.value)) return;
        const promised = new Set(answer.value.value as number[]);
        asked
          .filter(([shard, epoch]) => promised.has(shard) && own.get(shard)?.record.epoch === epoch)
          .forEach(([shard]) =>
            own.get(shard)?.promises.set(answer.value.from.incarnation, sentAt + promiseHoldsMs),
          );
      }),
    );
    if (!extended) logEvent(1304, { shards: own.size });
    extended = true;
  };

  return {
    findOwn: (shard) => {
      const mine = own.get(shard);
      return mine && readClock() < getOwnDeadline(mine) ? mine.holder : undefined;
    },
    findHolder: (shard) => {
      const record = records.get(shard)?.record;
      const member = record && membership.findMember(record.incarnation);
      return record && member ? { member, epoch: record.epoch } : undefined;
    },
    countOwn: () => own.size,
    methods: {
      'rate.consent': (params) => {
        const parsed = z.object({ shard: z.number(), epoch: z.number() }).safeParse(params);
        if (!parsed.success) return throwInvalidParams('shard and epoch expected');
        const { shard, epoch } = parsed.data;
        return Promise.resolve(promiseBook.consent(shard, epoch, readClock()));
      },
      'rate.promise': (params) => {
        const schema = z.object({ shards: z.array(z.tuple([z.number(), z.number()])) });
        const parsed = schema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('shards expected');
        const now = readClock();
        const given = parsed.data.shards.filter(([shard, epoch]) =>
          promiseBook.promise(shard, epoch, now),
        );
        return Promise.resolve(given.map(([shard]) => shard));
      },
      'rate.hand-over': (params) => {
        const parsed = handoverSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('shard, epoch and levels expected');
        const { shard, epoch, levels, entry } = parsed.data;
        if (entry.key === shardKey(shard)) watch.learn(entry);
        handedLevels.set(shard, { epoch, levels: new Map(levels) });
        return Promise.resolve(true);
      },
    },
    start: (signal) => {
      void repeatUntilStopped(periodMs, signal, tendAll);
      void repeatUntilStopped(promisePeriodMs, signal, askPromises);
    },
    handOverAll: async () => {
      leaving = true;
      for (const [shard, mine] of [...own]) {
        const to = findPreferred(shard);
        if (to) await handOver(shard, mine, to);
      }
    },
  };
};
