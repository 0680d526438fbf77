import { grantLifetimeMs } from './bucket.js';
import type { WorkspaceReturn } from './holder.js';

/** Time over which demand is averaged, in milliseconds. */
const demandWindowMs = 1_000;

/** Tokens granted to this VM and not yet used. */
interface Piece {
  readonly epoch: number;
  readonly slot: number;
  tokens: number;
  readonly deadline: number;
}

/** Tokens of one grant that a request holds. */
export interface HeldTokens {
  readonly epoch: number;
  readonly slot: number;
  readonly tokens: number;
}

/** Tokens reserved by one request, at its worst case. */
export interface Reservation {
  readonly workspace: string;
  readonly grants: readonly HeldTokens[];
}

/** Unused tokens with the epoch they were granted in. */
export interface EpochReturn extends WorkspaceReturn {
  readonly epoch: number;
}

interface Account {
  pieces: Piece[];
  demand: number;
  demandAt: number;
}

/** Grants of one VM for all workspaces it sees. */
export interface Taker {
  readonly accounts: Map<string, Account>;
  returns: EpochReturn[];
}

/** Makes a taker without grants. */
export const makeRateConsumer = (): Taker => ({ accounts: new Map(), returns: [] });

const accountOf = (taker: Taker, workspace: string): Account => {
  const known = taker.accounts.get(workspace);
  if (known) return known;
  const made: Account = { pieces: [], demand: 0, demandAt: 0 };
  taker.accounts.set(workspace, made);
  return made;
};

/**
 * Adds a grant.
 *
 * @param sentAt - when this VM sent its draw; the grant's time runs from then, so that a
 *   late answer is worth less
 */
export const addGrant = (
  taker: Taker,
  workspace: string,
  grant: HeldTokens,
  sentAt: number,
): void => {
  accountOf(taker, workspace).pieces.push({ ...grant, deadline: sentAt + grantLifetimeMs });
};

const dropExpired = (taker: Taker, workspace: string, account: Account, now: number): void => {
  const expired = account.pieces.filter((p) => p.deadline <= now);
  if (expired.length === 0) return;
  account.pieces = account.pieces.filter((p) => p.deadline > now);
  expired.forEach(({ epoch, slot, tokens }) =>
    taker.returns.push({ workspace, epoch, slot, settled: tokens, unused: tokens }),
  );
};

/** Records that a request needs tokens, for sizing draws. */
export const recordDemand = (
  taker: Taker,
  workspace: string,
  tokens: number,
  now: number,
): void => {
  const account = accountOf(taker, workspace);
  const decay = Math.exp(-(now - account.demandAt) / demandWindowMs);
  account.demand = account.demand * decay + tokens;
  account.demandAt = now;
};

/** Tokens that the workspace is likely to need here while a grant holds. */
export const getExpectedDemand = (taker: Taker, workspace: string, now: number): number => {
  const account = accountOf(taker, workspace);
  const decay = Math.exp(-(now - account.demandAt) / demandWindowMs);
  return (account.demand * decay * grantLifetimeMs) / demandWindowMs / 2;
};

/** Tokens that can be reserved now without a draw. */
export const countAvailable = (taker: Taker, workspace: string, now: number): number => {
  const account = accountOf(taker, workspace);
  dropExpired(taker, workspace, account, now);
  return account.pieces.reduce((sum, p) => sum + p.tokens, 0);
};

/**
 * Reserves tokens for a request; undefined when the grants here do not suffice.
 *
 * @example
 * const reservation = reserveTokens(taker, 'forge', 300, now);
 */
export const reserveTokens = (
  taker: Taker,
  workspace: string,
  tokens: number,
  now: number,
): Reservation | undefined => {
  if (countAvailable(taker, workspace, now) < tokens) return undefined;
  const account = accountOf(taker, workspace);
  const held: HeldTokens[] = [];
  let left = tokens;
  account.pieces.forEach((piece) => {
    const used = Math.min(left, piece.tokens);
    if (used <= 0) return;
    piece.tokens -= used;
    left -= used;
    held.push({ epoch: piece.epoch, slot: piece.slot, tokens: used });
  });
  account.pieces = account.pieces.filter((p) => p.tokens > 0);
  return { workspace, grants: held };
};

/** Settles a reservation: `used` tokens were spent, the rest goes back to the holder. */
export const settleReservation = (taker: Taker, reservation: Reservation, used: number): void => {
  let left = used;
  reservation.grants.forEach(({ epoch, slot, tokens }) => {
    const spent = Math.min(left, tokens);
    left -= spent;
    taker.returns.push({
      workspace: reservation.workspace,
      epoch,
      slot,
      settled: tokens,
      unused: tokens - spent,
    });
  });
};

const returnName = (r: EpochReturn): string => `${r.workspace}/${r.epoch}/${r.slot}`;

/** Takes out all unused tokens that are due to go back, added up by grant. */
export const collectReturns = (taker: Taker, now: number): EpochReturn[] => {
  taker.accounts.forEach((account, workspace) => {
    dropExpired(taker, workspace, account, now);
    const idle = account.pieces.length === 0 && now - account.demandAt > 10 * demandWindowMs;
    if (idle) taker.accounts.delete(workspace);
  });
  const merged = new Map<string, EpochReturn>();
  taker.returns.forEach((r) => {
    const known = merged.get(returnName(r));
    merged.set(returnName(r), {
      ...r,
      settled: r.settled + (known?.settled ?? 0),
      unused: r.unused + (known?.unused ?? 0),
    });
  });
  taker.returns = [];
  return [...merged.values()];
};
