import { z } from 'zod';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import { throwInvalidParams, type PeerMethod } from '@hemlocksill/peer/peer-server.js';
import {
  confirmDeposits,
  discardDeposits,
  selectLatestDeposit,
  planDeposits,
  type DepositState,
  type StoredDeposit,
} from '@hemlocksill/rate/deposits.js';
import type { Holder } from '@hemlocksill/rate/holder.js';
import { readClock } from '../clock.js';
import type { Member } from '../member.js';

const callTimeoutMs = 500;

/** Shard, epoch, sequence number and tokens by workspace. */
const statementSchema = z.tuple([
  z.number(),
  z.number(),
  z.number(),
  z.array(z.tuple([z.string(), z.number()])),
]);

/** Deposits of this VM's shards with others, and of others' shards here. */
export interface RateDeposits {
  /** Brings the deposits of a shard up to date; `wanted` workspaces get theirs back. */
  readonly update: (
    holder: Holder,
    successor: Member | undefined,
    wanted: ReadonlySet<string>,
  ) => Promise<void>;
  /** What a shard's holder of an epoch has deposited here. */
  readonly readKept: (shard: number, epoch: number) => ReadonlyMap<string, number>;
  readonly methods: Readonly<Record<string, PeerMethod>>;
}

/** Makes the exchange of deposits. */
export const makeRateDeposits = (peers: PeerClient): RateDeposits => {
  const books = new Map<number, DepositState & { readonly epoch: number }>();
  const addresses = new Map<string, Member['peers']>();
  const kept = new Map<number, StoredDeposit>();
  const busy = new Set<number>();

  const getBook = (holder: Holder, successor: Member | undefined) => {
    const known = books.get(holder.shard);
    if (known?.epoch === holder.epoch) return known;
    const fresh = { successor: successor?.incarnation ?? '', sequence: 0, confirmed: new Map() };
    return { ...fresh, epoch: holder.epoch };
  };

  const send = async (
    holder: Holder,
    to: Member['peers'],
    book: DepositState & { readonly epoch: number },
    wanted: ReadonlySet<string>,
  ): Promise<void> => {
    const { shard, epoch } = holder;
    const statement = planDeposits(holder, book, wanted, readClock());
    if (!statement) return;
    const { sequence, tokens } = statement;
    const message = [shard, epoch, sequence, [...tokens]];
    books.set(shard, { ...book, sequence });
    const answer = await peers.call(to, 'rate.deposit', message, callTimeoutMs);
    const isGone = answer.isErr()
      ? answer.error === 'refused'
      : answer.value.from.incarnation !== book.successor;
    if (isGone) {
      discardDeposits(holder);
      books.delete(shard);
    } else if (answer.isOk() && answer.value.value === true) {
      confirmDeposits(holder, statement, readClock());
      books.set(shard, { ...book, sequence, confirmed: tokens });
    }
  };

  const updateAlone = async (
    holder: Holder,
    successor: Member | undefined,
    wanted: ReadonlySet<string>,
  ): Promise<void> => {
    if (successor) addresses.set(successor.incarnation, successor.peers);
    const book = getBook(holder, successor);
    const to = addresses.get(book.successor);
    if (!to) return;
    if (book.successor === successor?.incarnation) {
      await send(holder, to, book, wanted);
      return;
    }
    // Another VM would succeed now: everything is taken back from the earlier one first.
    if (book.confirmed.size > 0) await send(holder, to, book, new Set(holder.buckets.keys()));
    if ((books.get(holder.shard)?.confirmed.size ?? 0) === 0) books.delete(holder.shard);
  };

  return {
    update: async (holder, successor, wanted) => {
      if (busy.has(holder.shard)) return;
      busy.add(holder.shard);
      await updateAlone(holder, successor, wanted);
      busy.delete(holder.shard);
    },
    readKept: (shard, epoch) => {
      const known = kept.get(shard);
      return known?.epoch === epoch ? known.tokens : new Map();
    },
    methods: {
      'rate.deposit': (params) => {
        const parsed = statementSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('a deposit statement expected');
        const [shard, epoch, sequence, tokens] = parsed.data;
        const statement = { epoch, sequence, tokens: new Map(tokens) };
        const now = selectLatestDeposit(kept.get(shard), statement);
        kept.set(shard, now);
        return Promise.resolve(now === statement);
      },
    },
  };
};
