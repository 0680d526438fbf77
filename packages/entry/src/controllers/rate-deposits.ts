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

/** Shard, epoch, sequence number, and tokens by workspace. */
const statementSchema = z.tuple([
  z.number(),
  z.number(),
  z.number(),
  z.array(z.tuple([z.string(), z.number()])),
]);

/** Deposits of the shards of this VM at other VMs, and deposits received from other VMs. */
export interface RateDeposits {
  /** Updates the deposits of a shard; the tokens of `recalled` workspaces are taken back. */
  readonly update: (
    holder: Holder,
    successor: Member | undefined,
    recalled: ReadonlySet<string>,
  ) => Promise<void>;
  /** Tokens by workspace that the holder of a shard deposited here in an epoch. */
  readonly getReceivedDeposits: (shard: number, epoch: number) => ReadonlyMap<string, number>;
  readonly methods: Readonly<Record<string, PeerMethod>>;
}

/** Creates the component that exchanges deposits with peers. */
export const makeRateDeposits = (peers: PeerClient): RateDeposits => {
  const depositStates = new Map<number, DepositState & { readonly epoch: number }>();
  const addresses = new Map<string, Member['peers']>();
  const receivedDeposits = new Map<number, StoredDeposit>();
  const updating = new Set<number>();

  const getDepositState = (holder: Holder, successor: Member | undefined) => {
    const existing = depositStates.get(holder.shard);
    if (existing?.epoch === holder.epoch) return existing;
    const newState = { successor: successor?.incarnation ?? '', sequence: 0, confirmed: new Map() };
    return { ...newState, epoch: holder.epoch };
  };

  const sendStatement = async (
    holder: Holder,
    successorAddress: Member['peers'],
    depositState: DepositState & { readonly epoch: number },
    recalled: ReadonlySet<string>,
  ): Promise<void> => {
    const { shard, epoch } = holder;
    const statement = planDeposits(holder, depositState, recalled, readClock());
    if (!statement) return;
    const { sequence, tokens } = statement;
    const message = [shard, epoch, sequence, [...tokens]];
    depositStates.set(shard, { ...depositState, sequence });
    const reply = await peers.call(successorAddress, 'rate.deposit', message, callTimeoutMs);
    const isSuccessorDead = reply.isErr()
      ? reply.error === 'refused'
      : reply.value.from.incarnation !== depositState.successor;
    if (isSuccessorDead) {
      discardDeposits(holder);
      depositStates.delete(shard);
    } else if (reply.isOk() && reply.value.value === true) {
      confirmDeposits(holder, statement, readClock());
      depositStates.set(shard, { ...depositState, sequence, confirmed: tokens });
    }
  };

  const updateExclusively = async (
    holder: Holder,
    successor: Member | undefined,
    recalled: ReadonlySet<string>,
  ): Promise<void> => {
    if (successor) addresses.set(successor.incarnation, successor.peers);
    const depositState = getDepositState(holder, successor);
    const successorAddress = addresses.get(depositState.successor);
    if (!successorAddress) return;
    if (depositState.successor === successor?.incarnation) {
      await sendStatement(holder, successorAddress, depositState, recalled);
      return;
    }
    // The successor has changed: all deposits are taken back from the earlier one first.
    if (depositState.confirmed.size > 0)
      await sendStatement(holder, successorAddress, depositState, new Set(holder.buckets.keys()));
    if ((depositStates.get(holder.shard)?.confirmed.size ?? 0) === 0)
      depositStates.delete(holder.shard);
  };

  return {
    update: async (holder, successor, recalled) => {
      if (updating.has(holder.shard)) return;
      updating.add(holder.shard);
      await updateExclusively(holder, successor, recalled);
      updating.delete(holder.shard);
    },
    getReceivedDeposits: (shard, epoch) => {
      const deposit = receivedDeposits.get(shard);
      return deposit?.epoch === epoch ? deposit.tokens : new Map();
    },
    methods: {
      'rate.deposit': (params) => {
        const parsed = statementSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('a deposit statement expected');
        const [shard, epoch, sequence, tokens] = parsed.data;
        const statement = { epoch, sequence, tokens: new Map(tokens) };
        const latest = selectLatestDeposit(receivedDeposits.get(shard), statement);
        receivedDeposits.set(shard, latest);
        return Promise.resolve(latest === statement);
      },
    },
  };
};
