import { makeTransferTurns, type TurnDecision } from '@hemlocksill/routing/transfer-turns.js';

/** Interval at which requests that have waited too long are rejected. */
const expiryPeriodMs = 25;

/** What happens to a transfer; `end` must be called when the receiver has closed its connection. */
export type TransferTurn =
  | { readonly kind: 'begin'; readonly end: () => void }
  | Extract<TurnDecision<unknown>, { kind: 'busy' }>;

/** The transfers of a configuration that this VM serves. */
export interface ViewTransfers {
  /** Waits for the turn of a VM. */
  readonly awaitTurn: (revision: number, address: string | undefined) => Promise<TransferTurn>;
}

/** A request, compared by identity. */
interface Waiter {
  readonly resolve: (turn: TransferTurn) => void;
}

/**
 * Makes the account of transfers.
 *
 * @param maxTransfers - 0 for any number
 * @example
 * await makeViewTransfers(3, () => performance.now()).awaitTurn(7, '10.1.0.25:8229');
 */
export const makeViewTransfers = (maxTransfers: number, now: () => number): ViewTransfers => {
  const turns = makeTransferTurns<Waiter>(maxTransfers);
  const waiters = new Set<Waiter>();
  let timer: NodeJS.Timeout | undefined;

  const apply = (decisions: readonly TurnDecision<Waiter>[]): void =>
    decisions.forEach((decision) => {
      const { id } = decision;
      waiters.delete(id);
      if (decision.kind === 'busy') id.resolve(decision);
      else id.resolve({ kind: 'begin', end: () => apply(turns.end(id, now())) });
    });

  const scheduleExpiry = (): void => {
    if (timer || waiters.size === 0) return;
    timer = setTimeout(() => {
      timer = undefined;
      apply(turns.expire(now()));
      scheduleExpiry();
    }, expiryPeriodMs);
    timer.unref();
  };

  return {
    awaitTurn: (revision, address) =>
      new Promise((resolve) => {
        const waiter = { resolve };
        waiters.add(waiter);
        apply(turns.request(waiter, revision, address, now()));
        scheduleExpiry();
      }),
  };
};
