/** Time for which a VM waits for its turn before it is rejected; it asks other VMs, too, by then. */
const maxTurnWaitMs = 300;

/** Maximum number of VMs that wait for their turn; more are rejected immediately. */
const maxWaiting = 64;

/** Time over which rejections are counted. */
const rejectionWindowMs = 250;

/** Delays after which a rejected VM asks again. */
const minBusyDelayMs = 40;
const maxBusyDelayMs = 250;
const busyDelayPerRejectionMs = 5;

/** Maximum number of VMs that a rejection names as other sources. */
const maxHolders = 8;

/** What a VM is told that can't be served now. */
export interface BusyReply {
  /** Addresses of VMs that have fetched the configuration here, the latest one first. */
  readonly holders: readonly string[];
  readonly retryAfterMs: number;
}

/** What happens to a request for a transfer. */
export type TurnDecision<Id> =
  | { readonly id: Id; readonly kind: 'begin' }
  | ({ readonly id: Id; readonly kind: 'busy' } & BusyReply);

/** Decides which transfers of a configuration a VM serves at the same time. */
export interface TransferTurns<Id> {
  /** `address` names the receiver to others as a source; an earlier release doesn't state it. */
  readonly request: (
    id: Id,
    revision: number,
    address: string | undefined,
    now: number,
  ) => TurnDecision<Id>[];
  /** Records that the receiver of a transfer has closed its connection. */
  readonly end: (id: Id, now: number) => TurnDecision<Id>[];
  /** Rejects the requests that have waited too long. */
  readonly expire: (now: number) => TurnDecision<Id>[];
}

interface TransferRequest {
  readonly revision: number;
  readonly address: string | undefined;
  readonly expiresAt: number;
}

/**
 * Makes the decision. A VM that has received the configuration is named as a source to as many of those
 * that wait as it may serve.
 *
 * Load pattern: on a link of 7 Mbit/s, 19 transfers of 500 KB at once all end after 11 s. Of three at a
 * time, the first end after 1.7 s and serve others from then on.
 *
 * @param maxTransfers - 0 for any number
 * @example
 * makeTransferTurns<number>(3).request(1, 7, '10.1.0.25:8229', 0); // [{ id: 1, kind: 'begin' }]
 */
export const makeTransferTurns = <Id>(maxTransfers: number): TransferTurns<Id> => {
  const open = new Map<Id, TransferRequest>();
  const waiting = new Map<Id, TransferRequest>();
  let newestRevision = 0;
  let holders: string[] = [];
  let rejections = 0;
  let windowEndsAt = 0;

  const begin = (id: Id, request: TransferRequest): TurnDecision<Id> => {
    open.set(id, request);
    return { id, kind: 'begin' };
  };

  const reject = (id: Id, named: readonly string[], now: number): TurnDecision<Id> => {
    if (now >= windowEndsAt) {
      rejections = 0;
      windowEndsAt = now + rejectionWindowMs;
    }
    rejections += 1;
    // In proportion to the number of rejected VMs, so that the rate of their requests has a bound.
    const delayMs = Math.max(minBusyDelayMs, rejections * busyDelayPerRejectionMs);
    return {
      id,
      kind: 'busy',
      holders: named,
      retryAfterMs: Math.min(maxBusyDelayMs, delayMs),
    };
  };

  const takeWaiting = (count: number): [Id, TransferRequest][] => {
    const taken = [...waiting].slice(0, count);
    taken.forEach(([id]) => waiting.delete(id));
    return taken;
  };

  return {
    request: (id, revision, address, now) => {
      if (revision !== newestRevision) holders = [];
      newestRevision = revision;
      const request = { revision, address, expiresAt: now + maxTurnWaitMs };
      if (maxTransfers === 0 || open.size < maxTransfers) return [begin(id, request)];
      if (waiting.size >= maxWaiting) return [reject(id, holders, now)];
      waiting.set(id, request);
      return [];
    },
    end: (id, now) => {
      const ended = open.get(id);
      if (!open.delete(id) || !ended) return [];
      const next = takeWaiting(1).map(([nextId, request]) => begin(nextId, request));
      const { address, revision } = ended;
      if (address === undefined || revision !== newestRevision) return next;
      holders = [address, ...holders.filter((holder) => holder !== address)].slice(0, maxHolders);
      const redirected = takeWaiting(maxTransfers).map(([waitingId]) =>
        reject(waitingId, [address], now),
      );
      return [...next, ...redirected];
    },
    expire: (now) =>
      [...waiting]
        .filter(([, request]) => now >= request.expiresAt)
        .map(([id]) => {
          waiting.delete(id);
          return reject(id, holders, now);
        }),
  };
};
