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
import type { LocalLease, Membership } from './membership.js';
import { getLocalGrantDeadline, type LocalShard, type LocalShards } from './local-shard.js';
import { makeShardVotes } from './shard-votes.js';
import { makeRateDeposits } from './rate-deposits.js';
import { makeShardDeposits } from './shard-deposits.js';
import { makeShardPromises } from './shard-promises.js';
import { makeShardRanking } from './shard-ranking.js';
import { makeShardTakeover } from './shard-takeover.js';

const maintenancePeriodMs = 250;
const callTimeoutMs = 800;
const promisePeriodMs = 1_000;
const depositPeriodMs = 1_000;

/** Maximum number of shards changed in one pass; it spreads out the writes to the store. */
const maxChangesPerPass = 8;

const maxHandOverRounds = 20;
const handOverDelayMs = 20;

/** How long an assigned successor waits for the bucket levels before it starts empty. */
const maxLevelsWaitMs = 1_500;

/** The holder of a shard according to its record. */
export interface RecordedHolder {
  readonly incarnation: string;
  readonly peers: { readonly host: string; readonly port: number };
  readonly epoch: number;
}

/** Assigns rate shards to VMs; the holder of a shard grants the tokens of its workspaces. */
export interface RateShards {
  /** The holder on this VM, if it may grant tokens now. */
  readonly findLocal: (shard: number) => Holder | undefined;
  /** The VM that the shard record names as the holder, with its epoch. */
  readonly findHolder: (shard: number) => RecordedHolder | undefined;
  /** The store entry of a shard record, for a VM that queried the wrong holder. */
  readonly readEntry: (shard: number) => StoreEntry | undefined;
  /** Applies the store entry that another VM sent in reply to a draw. */
  readonly applyEntry: (shard: number, entry: StoreEntry) => void;
  /** Takes back the deposit of a workspace that is short of tokens here. */
  readonly recallDeposit: (shard: number, workspace: string) => void;
  readonly countLocal: () => number;
  readonly methods: Readonly<Record<string, PeerMethod>>;
  readonly start: (signal: AbortSignal) => void;
  /** Hands over all shards before this VM leaves. */
  readonly handOverAll: () => Promise<void>;
}

/** Dependencies of the rate shards controller. */
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
  /** The store entry of the record, in case the receiver's watch lags. */
  entry: z.object({ key: z.string(), value: z.string(), revision: z.number() }),
});

const makeWriteId = (): string => randomBytes(8).toString('hex');

/** Takes over, maintains, and hands over rate shards. */
export const makeRateShards = (opts: RateShardsOptions): RateShards => {
  const { store, keys, watch, membership, peers, logEvent } = opts;
  const localShards: LocalShards = new Map();
  const knownRecords = new Map<number, { record: ShardRecord; storeRevision: number }>();
  const receivedHandovers = new Map<number, { epoch: number; initialLevels: InitialLevels }>();
  const assignments = new Map<number, { epoch: number; since: number }>();
  const shardVotes = makeShardVotes();
  const rateDeposits = makeRateDeposits(peers);
  let isLeaving = false;
  let nextShard = 0;
  const ranking = makeShardRanking(membership, () => isLeaving);
  const shardDeposits = makeShardDeposits(localShards, rateDeposits, ranking);
  const takeover = makeShardTakeover(membership, peers, shardVotes);

  const shardKey = (shard: number): string => `${keys.rateShards}${shard}`;
  const selfId = (): string => membership.self().incarnation;

  const dropShard = (shard: number): void => {
    if (localShards.delete(shard)) logEvent(1303, { shard });
  };

  watch.subscribe(keys.rateShards, (key, entry) => {
    const shard = Number(key.slice(keys.rateShards.length));
    const parsed = entry && parseShardRecord(entry.value);
    if (!entry || !parsed?.isOk()) {
      knownRecords.delete(shard);
      return;
    }
    knownRecords.set(shard, { record: parsed.value, storeRevision: entry.revision });
    const localShard = localShards.get(shard);
    if (localShard && parsed.value.epoch > localShard.record.epoch) dropShard(shard);
  });

  const shardPromises = makeShardPromises({
    localShards,
    membership,
    peers,
    shardVotes,
    logEvent,
    dropShard,
  });

  const addLocalShard = (
    record: ShardRecord,
    storeRevision: number,
    lease: LocalLease,
    initialLevels: InitialLevels,
  ): void => {
    const fillsFrom = readClock() + grantLifetimeMs;
    localShards.set(record.shard, {
      holder: makeHolder(record.shard, record.epoch, fillsFrom, initialLevels),
      record,
      storeRevision,
      leaseId: lease.leaseId,
      leaseUntil: lease.until,
      promises: new Map(),
      pendingVoters: undefined,
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
      watch.applyEntry({ key: shardKey(shard), value, revision: written.value.revision });
      return written.value.revision;
    }
    if (written.value.value !== undefined)
      watch.applyEntry({
        key: shardKey(shard),
        value: written.value.value,
        revision: written.value.revision,
      });
    return undefined;
  };

  /** Takes over a shard if allowed; returns whether it used the store or queried peers. */
  const takeOver = async (shard: number, receivedLevels: InitialLevels): Promise<boolean> => {
    const lease = membership.lease();
    const knownRecord = knownRecords.get(shard);
    if (!lease || lease.until <= readClock()) return false;
    if (knownRecord && !(await takeover.isTakeoverAllowed(knownRecord.record))) return true;
    const isAssigned = knownRecord?.record.incarnation === selfId();
    const depositedLevels = {
      levels: rateDeposits.getReceivedDeposits(shard, knownRecord?.record.epoch ?? 0),
      idleMs: 0,
    };
    const initialLevels = isAssigned ? receivedLevels : depositedLevels;
    const record: ShardRecord = {
      shard,
      epoch: (knownRecord?.record.epoch ?? 0) + 1,
      vm: membership.self().vm,
      incarnation: selfId(),
      voters: ranking.listVoters(shard),
      writeId: makeWriteId(),
    };
    const revision = await writeRecord(shard, record, knownRecord?.storeRevision ?? 0);
    if (revision !== undefined)
      addLocalShard(record, revision, lease, knownRecord ? initialLevels : allBucketsFull);
    return true;
  };

  /**
   * Restores a shard after a failed hand-over if a newer record still names this VM with the same
   * epoch, because then the record of the hand-over was certainly not written.
   */
  const restoreShard = (shard: number, localShard: LocalShard): void => {
    const knownRecord = knownRecords.get(shard);
    const isStillHolder =
      knownRecord !== undefined &&
      knownRecord.storeRevision > localShard.storeRevision &&
      knownRecord.record.incarnation === selfId() &&
      knownRecord.record.epoch === localShard.record.epoch;
    if (isStillHolder)
      localShards.set(shard, {
        ...localShard,
        record: knownRecord.record,
        storeRevision: knownRecord.storeRevision,
      });
  };

  const handOver = async (
    shard: number,
    localShard: LocalShard,
    successor: Member,
  ): Promise<void> => {
    localShards.delete(shard);
    const { levels, idleMs } = exportLevels(localShard.holder, readClock());
    const record: ShardRecord = {
      ...localShard.record,
      epoch: localShard.record.epoch + 1,
      vm: successor.vm,
      incarnation: successor.incarnation,
      voters: ranking.listVotersOf(successor, shard),
      writeId: makeWriteId(),
    };
    const revision = await writeRecord(shard, record, localShard.storeRevision);
    if (revision === undefined) {
      restoreShard(shard, localShard);
      return;
    }
    const entry = { key: shardKey(shard), value: JSON.stringify(record), revision };
    await peers.call(
      successor.peers,
      'rate.hand-over',
      { shard, epoch: record.epoch, levels: [...levels], idleMs, entry },
      callTimeoutMs,
    );
    logEvent(1302, { shard, to: successor.vm });
  };

  /** Rewrites the record for new voters or a new lease; the epoch does not change. */
  const rewriteRecord = async (
    shard: number,
    localShard: LocalShard,
    lease: LocalLease,
    voters: readonly ShardVoter[],
  ): Promise<void> => {
    const record = { ...localShard.record, voters: [...voters], writeId: makeWriteId() };
    localShards.set(shard, { ...localShard, pendingVoters: voters });
    const revision = await writeRecord(shard, record, localShard.storeRevision);
    const current = localShards.get(shard);
    if (revision === undefined) await rereadRecord(shard);
    else if (current?.record.epoch === localShard.record.epoch)
      localShards.set(shard, {
        ...current,
        record,
        storeRevision: revision,
        leaseId: lease.leaseId,
        leaseUntil: lease.until,
        pendingVoters: undefined,
      });
  };

  const haveVotersChanged = (shard: number, localShard: LocalShard): boolean => {
    const voters = ranking.listVoters(shard);
    const recorded = new Set(localShard.record.voters.map((v) => v.incarnation));
    return voters.length !== recorded.size || voters.some((v) => !recorded.has(v.incarnation));
  };

  const maintainLocalShard = async (shard: number, localShard: LocalShard): Promise<boolean> => {
    const lease = membership.lease();
    if (isLeaving || !membership.isStoreReachable() || !lease) return false;
    const preferred = ranking.findPreferred(shard, false);
    if (localShard.pendingVoters) await rereadRecord(shard);
    else if (preferred && preferred.incarnation !== selfId()) {
      if (membership.isSuspect(preferred.incarnation) || !takeover.isStoreStable()) return false;
      await handOver(shard, localShard, preferred);
    } else if (lease.leaseId !== localShard.leaseId)
      await rewriteRecord(shard, localShard, lease, localShard.record.voters);
    else if (haveVotersChanged(shard, localShard))
      await rewriteRecord(shard, localShard, lease, ranking.listVoters(shard));
    else return false;
    return true;
  };

  /** Reads the record again after a write whose outcome is unknown. */
  const rereadRecord = async (shard: number): Promise<void> => {
    const entry = await store.get(shardKey(shard));
    const localShard = localShards.get(shard);
    if (entry.isErr() || !entry.value || !localShard) return;
    const parsed = parseShardRecord(entry.value.value);
    watch.applyEntry(entry.value);
    if (!parsed.isOk() || parsed.value.incarnation !== selfId()) {
      dropShard(shard);
      return;
    }
    localShards.set(shard, {
      ...localShard,
      record: parsed.value,
      storeRevision: entry.value.revision,
      pendingVoters: undefined,
    });
  };

  /**
   * Takes over a shard that its record assigns to this VM. This rewrites the record, which
   * fails if another VM has taken over the shard in the meantime.
   */
  const takeAssignedShard = async (shard: number, record: ShardRecord): Promise<boolean> => {
    const handover = receivedHandovers.get(shard);
    if (handover?.epoch === record.epoch) {
      receivedHandovers.delete(shard);
      await takeOver(shard, handover.initialLevels);
      return true;
    }
    const assignment = assignments.get(shard);
    if (assignment?.epoch !== record.epoch) {
      assignments.set(shard, { epoch: record.epoch, since: readClock() });
      return false;
    }
    if (readClock() - assignment.since < maxLevelsWaitMs) return false;
    await takeOver(shard, allBucketsEmpty);
    return true;
  };

  const shardsInMaintenance = new Set<number>();

  /** Maintains one shard unless that is in progress; returns whether it used the store. */
  const maintainShard = async (shard: number): Promise<boolean> => {
    if (shardsInMaintenance.has(shard)) return false;
    shardsInMaintenance.add(shard);
    const usedStore = await maintainExclusively(shard);
    shardsInMaintenance.delete(shard);
    return usedStore;
  };

  const maintainExclusively = async (shard: number): Promise<boolean> => {
    const localShard = localShards.get(shard);
    if (localShard) return maintainLocalShard(shard, localShard);
    const knownRecord = knownRecords.get(shard);
    if (knownRecord?.record.incarnation === selfId())
      return !isLeaving && takeAssignedShard(shard, knownRecord.record);
    if (ranking.findPreferred(shard, true)?.incarnation !== selfId() || isLeaving) return false;
    return takeOver(shard, allBucketsEmpty);
  };

  const maintainShards = async (): Promise<void> => {
    let changes = 0;
    for (let i = 0; i < shardCount && changes < maxChangesPerPass; i += 1) {
      nextShard = (nextShard + 1) % shardCount;
      if (await maintainShard(nextShard)) changes += 1;
    }
  };

  return {
    findLocal: (shard) => {
      const localShard = localShards.get(shard);
      return localShard && readClock() < getLocalGrantDeadline(localShard, membership.lease())
        ? localShard.holder
        : undefined;
    },
    findHolder: (shard) => {
      const record = knownRecords.get(shard)?.record;
      // The record has the address even after the holder's registration has expired.
      const voter = record?.voters.find((v) => v.incarnation === record.incarnation);
      if (!record || !voter) return undefined;
      const { incarnation, host, port } = voter;
      return { incarnation, peers: { host, port }, epoch: record.epoch };
    },
    readEntry: (shard) => watch.entries.get(shardKey(shard)),
    applyEntry: (shard, entry) => {
      if (entry.key === shardKey(shard)) watch.applyEntry(entry);
    },
    recallDeposit: shardDeposits.recall,
    countLocal: () => localShards.size,
    methods: {
      ...rateDeposits.methods,
      ...shardPromises.methods,
      'rate.hand-over': (params) => {
        const parsed = handoverSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('shard, epoch and levels expected');
        const { shard, epoch, levels, idleMs, entry } = parsed.data;
        if (entry.key === shardKey(shard)) watch.applyEntry(entry);
        receivedHandovers.set(shard, { epoch, initialLevels: { levels: new Map(levels), idleMs } });
        // Requests are waiting for the holder, so the next maintenance pass would be too late.
        void maintainShard(shard);
        return Promise.resolve(true);
      },
    },
    start: (signal) => {
      void repeatUntilStopped(maintenancePeriodMs, signal, maintainShards);
      void repeatUntilStopped(promisePeriodMs, signal, shardPromises.requestPromises);
      void repeatUntilStopped(depositPeriodMs, signal, async () => {
        if (!isLeaving) await shardDeposits.updateAll();
      });
    },
    handOverAll: async () => {
      isLeaving = true;
      for (let round = 0; round < maxHandOverRounds && localShards.size > 0; round += 1) {
        for (const [shard, localShard] of [...localShards]) {
          const successor = ranking.findPreferred(shard, true) ?? ranking.findAnyOther();
          // A shard whose record is being written is handed over in a later round.
          if (successor && !shardsInMaintenance.has(shard))
            await handOver(shard, localShard, successor);
        }
        await sleepUntil(readClock() + handOverDelayMs);
      }
    },
  };
};
