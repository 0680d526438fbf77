import { randomBytes } from 'node:crypto';
import { z } from 'zod';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import { throwInvalidParams, type PeerMethod } from '@hemlocksill/peer/peer-server.js';
import { grantLifetimeMs } from '@hemlocksill/rate/bucket.js';
import {
  makeHolder,
  exportLevels,
  allBucketsEmpty,
  allBucketsFull,
  type Holder,
  type InitialLevels,
} from '@hemlocksill/rate/holder.js';
import {
  parseShardRecord,
  shardCount,
  type ShardRecord,
  type ShardVoter,
} from '@hemlocksill/rate/shard-record.js';
import type { StoreKeys } from '@hemlocksill/revisions/store-keys.js';
import { writeAndSettle } from '@hemlocksill/store/settle-write.js';
import type { Store, StoreEntry } from '@hemlocksill/types/ports.js';
import { readClock, repeatUntilStopped, sleepUntil } from '../clock.js';
import type { LogEvent } from '../events.js';
import type { Member } from '../member.js';
import type { ControlWatch } from './control-watch.js';
import type { Membership, OwnLease } from './membership.js';
import { getOwnDeadline, type OwnShard, type OwnShards } from './local-shard.js';
import { makeShardVotes } from './shard-votes.js';
import { makeRateDeposits } from './rate-deposits.js';
import { makeShardDeposits } from './shard-deposits.js';
import { makeShardPromises } from './shard-promises.js';
import { makeShardRanking } from './shard-ranking.js';
import { makeShardTakeover } from './shard-takeover.js';

const periodMs = 250;
const callTimeoutMs = 800;
const promisePeriodMs = 1_000;
const depositPeriodMs = 1_000;

/** Shards taken or handed over in one pass, so that store writes come spread out. */
const changesPerPass = 8;

const handOverTries = 20;
const handOverPauseMs = 20;

/** How long a named successor waits for the levels before it starts empty. */
const handoverWaitMs = 1_500;

/** The holder of a shard as its record names it. */
export interface NamedHolder {
  readonly incarnation: string;
  readonly peers: { readonly host: string; readonly port: number };
  readonly epoch: number;
}

/** Who holds the rate of which workspaces. */
export interface RateShards {
  /** The holder on this VM, if its right is valid now. */
  readonly findOwn: (shard: number) => Holder | undefined;
  /** The VM that the store names as the holder, with its epoch. */
  readonly findHolder: (shard: number) => NamedHolder | undefined;
  /** The store entry of a shard's record, for a VM that asks the wrong holder. */
  readonly readEntry: (shard: number) => StoreEntry | undefined;
  /** Takes in the entry that another VM gave in answer to a draw. */
  readonly learnEntry: (shard: number, entry: StoreEntry) => void;
  /** A workspace is short of tokens here; what was deposited comes back. */
  readonly recallDeposit: (shard: number, workspace: string) => void;
  readonly countLocal: () => number;
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
  idleMs: z.number(),
  /** The store entry of the record, in case the watch is behind. */
  entry: z.object({ key: z.string(), value: z.string(), revision: z.number() }),
});

const makeWriteId = (): string => randomBytes(8).toString('hex');

/** Takes, keeps, extends and hands over the shards of workspaces' rates. */
export const makeRateShards = (opts: RateShardsOptions): RateShards => {
  const { store, keys, watch, membership, peers, logEvent } = opts;
  const own: OwnShards = new Map();
  const records = new Map<number, { record: ShardRecord; storeRevision: number }>();
  const handedLevels = new Map<number, { epoch: number; start: InitialLevels }>();
  const namedSince = new Map<number, { epoch: number; since: number }>();
  const promiseBook = makeShardVotes();
  const deposits = makeRateDeposits(peers);
  let leaving = false;
  let nextShard = 0;
  const ranking = makeShardRanking(membership, () => leaving);
  const shardDeposits = makeShardDeposits(own, deposits, ranking);
  const takeover = makeShardTakeover(membership, peers, promiseBook);

  const shardKey = (shard: number): string => `${keys.rateShards}${shard}`;
  const selfId = (): string => membership.self().incarnation;

  const dropOwn = (shard: number): void => {
    if (own.delete(shard)) logEvent(1303, { shard });
  };

  watch.subscribe(keys.rateShards, (key, entry) => {
    const shard = Number(key.slice(keys.rateShards.length));
    const parsed = entry && parseShardRecord(entry.value);
    if (!entry || !parsed?.isOk()) {
      records.delete(shard);
      return;
    }
    records.set(shard, { record: parsed.value, storeRevision: entry.revision });
    const mine = own.get(shard);
    if (mine && parsed.value.epoch > mine.record.epoch) dropOwn(shard);
  });

  const promises = makeShardPromises({ own, membership, peers, promiseBook, logEvent, dropOwn });

  const adoptShard = (
    record: ShardRecord,
    storeRevision: number,
    lease: OwnLease,
    start: InitialLevels,
  ): void => {
    const fillsFrom = readClock() + grantLifetimeMs;
    own.set(record.shard, {
      holder: makeHolder(record.shard, record.epoch, fillsFrom, start),
      record,
      storeRevision,
      leaseId: lease.leaseId,
      leaseUntil: lease.until,
      promises: new Map(),
      otherVoters: undefined,
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

  const takeOver = async (shard: number, handed: InitialLevels): Promise<boolean> => {
    const lease = membership.lease();
    const known = records.get(shard);
    if (!lease || lease.until <= readClock()) return false;
    if (known && !(await takeover.isDue(known.record))) return true;
    const isNamed = known?.record.incarnation === selfId();
    const deposited = { levels: deposits.readKept(shard, known?.record.epoch ?? 0), idleMs: 0 };
    const start = isNamed ? handed : deposited;
    const record: ShardRecord = {
      shard,
      epoch: (known?.record.epoch ?? 0) + 1,
      vm: membership.self().vm,
      incarnation: selfId(),
      voters: ranking.listVoters(shard),
      writeId: makeWriteId(),
    };
    const revision = await writeRecord(shard, record, known?.storeRevision ?? 0);
    if (revision !== undefined) adoptShard(record, revision, lease, known ? start : allBucketsFull);
    return true;
  };

  /** Takes a shard back whose hand-over has failed for certain: its record had moved on. */
  const restoreOwn = (shard: number, mine: OwnShard): void => {
    const known = records.get(shard);
    const isStillMine =
      known !== undefined &&
      known.storeRevision > mine.storeRevision &&
      known.record.incarnation === selfId() &&
      known.record.epoch === mine.record.epoch;
    if (isStillMine)
      own.set(shard, { ...mine, record: known.record, storeRevision: known.storeRevision });
  };

  const handOver = async (shard: number, mine: OwnShard, to: Member): Promise<void> => {
    own.delete(shard);
    const { levels, idleMs } = exportLevels(mine.holder, readClock());
    const record: ShardRecord = {
      ...mine.record,
      epoch: mine.record.epoch + 1,
      vm: to.vm,
      incarnation: to.incarnation,
      voters: ranking.listVotersOf(to, shard),
      writeId: makeWriteId(),
    };
    const revision = await writeRecord(shard, record, mine.storeRevision);
    if (revision === undefined) {
      restoreOwn(shard, mine);
      return;
    }
    const entry = { key: shardKey(shard), value: JSON.stringify(record), revision };
    await peers.call(
      to.peers,
      'rate.hand-over',
      { shard, epoch: record.epoch, levels: [...levels], idleMs, entry },
      callTimeoutMs,
    );
    logEvent(1302, { shard, to: to.vm });
  };

  /** Writes the record again for new voters or a new lease; the epoch stays. */
  const rewriteOwn = async (
    shard: number,
    mine: OwnShard,
    lease: OwnLease,
    voters: readonly ShardVoter[],
  ): Promise<void> => {
    const record = { ...mine.record, voters: [...voters], writeId: makeWriteId() };
    own.set(shard, { ...mine, otherVoters: voters });
    const revision = await writeRecord(shard, record, mine.storeRevision);
    const now = own.get(shard);
    if (revision === undefined) await reviewOwn(shard);
    else if (now?.record.epoch === mine.record.epoch)
      own.set(shard, {
        ...now,
        record,
        storeRevision: revision,
        leaseId: lease.leaseId,
        leaseUntil: lease.until,
        otherVoters: undefined,
      });
  };

  const hasOtherVoters = (shard: number, mine: OwnShard): boolean => {
    const voters = ranking.listVoters(shard);
    const before = new Set(mine.record.voters.map((v) => v.incarnation));
    return voters.length !== before.size || voters.some((v) => !before.has(v.incarnation));
  };

  const tendOwn = async (shard: number, mine: OwnShard): Promise<boolean> => {
    const lease = membership.lease();
    if (leaving || !membership.storeReachable() || !lease) return false;
    const preferred = ranking.findPreferred(shard, false);
    if (mine.otherVoters) await reviewOwn(shard);
    else if (preferred && preferred.incarnation !== selfId()) {
      if (membership.isSuspect(preferred.incarnation) || !takeover.isStoreSettled()) return false;
      await handOver(shard, mine, preferred);
    } else if (lease.leaseId !== mine.leaseId)
      await rewriteOwn(shard, mine, lease, mine.record.voters);
    else if (hasOtherVoters(shard, mine))
      await rewriteOwn(shard, mine, lease, ranking.listVoters(shard));
    else return false;
    return true;
  };

  /** Reads the record again after a write of unknown outcome. */
  const reviewOwn = async (shard: number): Promise<void> => {
    const entry = await store.get(shardKey(shard));
    const mine = own.get(shard);
    if (entry.isErr() || !entry.value || !mine) return;
    const parsed = parseShardRecord(entry.value.value);
    watch.learn(entry.value);
    if (!parsed.isOk() || parsed.value.incarnation !== selfId()) {
      dropOwn(shard);
      return;
    }
    own.set(shard, {
      ...mine,
      record: parsed.value,
      storeRevision: entry.value.revision,
      otherVoters: undefined,
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
      await takeOver(shard, handed.start);
      return true;
    }
    const named = namedSince.get(shard);
    if (named?.epoch !== record.epoch) {
      namedSince.set(shard, { epoch: record.epoch, since: readClock() });
      return false;
    }
    if (readClock() - named.since < handoverWaitMs) return false;
    await takeOver(shard, allBucketsEmpty);
    return true;
  };

  const tending = new Set<number>();

  /** Looks after one shard; tells whether it used the store. */
  const tend = async (shard: number): Promise<boolean> => {
    if (tending.has(shard)) return false;
    tending.add(shard);
    const used = await tendAlone(shard);
    tending.delete(shard);
    return used;
  };

  const tendAlone = async (shard: number): Promise<boolean> => {
    const mine = own.get(shard);
    if (mine) return tendOwn(shard, mine);
    const known = records.get(shard);
    if (known?.record.incarnation === selfId()) return !leaving && takeNamed(shard, known.record);
    if (ranking.findPreferred(shard, true)?.incarnation !== selfId() || leaving) return false;
    return takeOver(shard, allBucketsEmpty);
  };

  const tendAll = async (): Promise<void> => {
    let changes = 0;
    for (let i = 0; i < shardCount && changes < changesPerPass; i += 1) {
      nextShard = (nextShard + 1) % shardCount;
      if (await tend(nextShard)) changes += 1;
    }
  };

  return {
    findOwn: (shard) => {
      const mine = own.get(shard);
      return mine && readClock() < getOwnDeadline(mine, membership.lease())
        ? mine.holder
        : undefined;
    },
    findHolder: (shard) => {
      const record = records.get(shard)?.record;
      // The record knows the address even while the holder's membership has lapsed.
      const voter = record?.voters.find((v) => v.incarnation === record.incarnation);
      if (!record || !voter) return undefined;
      const { incarnation, host, port } = voter;
      return { incarnation, peers: { host, port }, epoch: record.epoch };
    },
    readEntry: (shard) => watch.entries.get(shardKey(shard)),
    learnEntry: (shard, entry) => {
      if (entry.key === shardKey(shard)) watch.learn(entry);
    },
    recallDeposit: shardDeposits.recall,
    countLocal: () => own.size,
    methods: {
      ...deposits.methods,
      ...promises.methods,
      'rate.hand-over': (params) => {
        const parsed = handoverSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('shard, epoch and levels expected');
        const { shard, epoch, levels, idleMs, entry } = parsed.data;
        if (entry.key === shardKey(shard)) watch.learn(entry);
        handedLevels.set(shard, { epoch, start: { levels: new Map(levels), idleMs } });
        // At once, since requests wait for the holder.
        void tend(shard);
        return Promise.resolve(true);
      },
    },
    start: (signal) => {
      void repeatUntilStopped(periodMs, signal, tendAll);
      void repeatUntilStopped(promisePeriodMs, signal, promises.ask);
      void repeatUntilStopped(depositPeriodMs, signal, async () => {
        if (!leaving) await shardDeposits.updateAll();
      });
    },
    handOverAll: async () => {
      leaving = true;
      for (let tries = 0; tries < handOverTries && own.size > 0; tries += 1) {
        for (const [shard, mine] of [...own]) {
          const to = ranking.findPreferred(shard, true) ?? ranking.findAnyOther();
          // A shard that is being written is handed over in the next round.
          if (to && !tending.has(shard)) await handOver(shard, mine, to);
        }
        await sleepUntil(readClock() + handOverPauseMs);
      }
    },
  };
};
