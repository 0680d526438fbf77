import { grantLifetimeMs } from './bucket.js';
import type { WorkspaceReturn } from './holder.js';

/** Time constant of the exponential decay of demand, in milliseconds. */
const demandWindowMs = 1_000;

/** Tokens granted to this VM and not reserved yet. */
interface ActiveGrant {
  readonly epoch: number;
  readonly slot: number;
  tokens: number;
  readonly expiresAt: number;
}

/** Tokens of one grant, identified by the epoch and the time slot it was made in. */
export interface TokenGrant {
  readonly epoch: number;
  readonly slot: number;
  readonly tokens: number;
}

/** Tokens reserved for one request, enough for its worst case. */
export interface Reservation {
  readonly workspace: string;
  readonly grants: readonly TokenGrant[];
}

/** Unused tokens and the epoch they were granted in. */
export interface EpochReturn extends WorkspaceReturn {
  readonly epoch: number;
}

interface Account {
  grants: ActiveGrant[];
  demand: number;
  demandUpdatedAt: number;
}

/** The grants and pending returns of one VM, for all workspaces that it serves. */
export interface RateConsumer {
  readonly accounts: Map<string, Account>;
  returns: EpochReturn[];
}

/** Makes a consumer without grants. */
export const makeRateConsumer = (): RateConsumer => ({ accounts: new Map(), returns: [] });

const getOrCreateAccount = (consumer: RateConsumer, workspace: string): Account => {
  const existing = consumer.accounts.get(workspace);
  if (existing) return existing;
  const created: Account = { grants: [], demand: 0, demandUpdatedAt: 0 };
  consumer.accounts.set(workspace, created);
  return created;
};

/**
 * Adds a grant.
 *
 * @param sentAt - when this VM sent its draw; the grant expires relative to this time, so that
 *   a delayed reply does not extend it
 */
export const addGrant = (
  consumer: RateConsumer,
  workspace: string,
  grant: TokenGrant,
  sentAt: number,
): void => {
  getOrCreateAccount(consumer, workspace).grants.push({
    ...grant,
    expiresAt: sentAt + grantLifetimeMs,
  });
};

const returnExpiredGrants = (
  consumer: RateConsumer,
  workspace: string,
  account: Account,
  now: number,
): void => {
  const expired = account.grants.filter((grant) => grant.expiresAt <= now);
  if (expired.length === 0) return;
  account.grants = account.grants.filter((grant) => grant.expiresAt > now);
  expired.forEach(({ epoch, slot, tokens }) =>
    consumer.returns.push({ workspace, epoch, slot, settled: tokens, unused: tokens }),
  );
};

/** Records that a request needs tokens, to size later draws. */
export const recordDemand = (
  consumer: RateConsumer,
  workspace: string,
  tokens: number,
  now: number,
): void => {
  const account = getOrCreateAccount(consumer, workspace);
  const decay = Math.exp(-(now - account.demandUpdatedAt) / demandWindowMs);
  account.demand = account.demand * decay + tokens;
  account.demandUpdatedAt = now;
};

/** Estimates the tokens that a workspace needs on this VM within the lifetime of a grant. */
export const getExpectedDemand = (
  consumer: RateConsumer,
  workspace: string,
  now: number,
): number => {
  const account = getOrCreateAccount(consumer, workspace);
  const decay = Math.exp(-(now - account.demandUpdatedAt) / demandWindowMs);
  return (account.demand * decay * grantLifetimeMs) / demandWindowMs / 2;
};

/** Counts the tokens that can be reserved now without a draw. */
export const countAvailable = (consumer: RateConsumer, workspace: string, now: number): number => {
  const account = getOrCreateAccount(consumer, workspace);
  returnExpiredGrants(consumer, workspace, account, now);
  return account.grants.reduce((sum, grant) => sum + grant.tokens, 0);
};

/**
 * Reserves tokens for a request; returns undefined if the grants of this VM do not suffice.
 *
 * @example
 * const reservation = reserveTokens(consumer, 'forge', 300, now);
 */
export const reserveTokens = (
  consumer: RateConsumer,
  workspace: string,
  tokens: number,
  now: number,
): Reservation | undefined => {
  if (countAvailable(consumer, workspace, now) < tokens) return undefined;
  const account = getOrCreateAccount(consumer, workspace);
  const reservedGrants: TokenGrant[] = [];
  let remaining = tokens;
  account.grants.forEach((grant) => {
    const used = Math.min(remaining, grant.tokens);
    if (used <= 0) return;
    grant.tokens -= used;
    remaining -= used;
    reservedGrants.push({ epoch: grant.epoch, slot: grant.slot, tokens: used });
  });
  account.grants = account.grants.filter((grant) => grant.tokens > 0);
  return { workspace, grants: reservedGrants };
};

/** Settles a reservation: `used` tokens were spent, the rest is queued for return to the holder. */
export const settleReservation = (
  consumer: RateConsumer,
  reservation: Reservation,
  used: number,
): void => {
  let remaining = used;
  reservation.grants.forEach(({ epoch, slot, tokens }) => {
    const spent = Math.min(remaining, tokens);
    remaining -= spent;
    consumer.returns.push({
      workspace: reservation.workspace,
      epoch,
      slot,
      settled: tokens,
      unused: tokens - spent,
    });
  });
};

const getReturnKey = (r: EpochReturn): string => `${r.workspace}/${r.epoch}/${r.slot}`;

/** Takes all tokens that are due for return out of the consumer, summed by grant. */
export const collectReturns = (consumer: RateConsumer, now: number): EpochReturn[] => {
  consumer.accounts.forEach((account, workspace) => {
    returnExpiredGrants(consumer, workspace, account, now);
    const isIdle =
      account.grants.length === 0 && now - account.demandUpdatedAt > 10 * demandWindowMs;
    if (isIdle) consumer.accounts.delete(workspace);
  });
  const merged = new Map<string, EpochReturn>();
  consumer.returns.forEach((r) => {
    const existing = merged.get(getReturnKey(r));
    merged.set(getReturnKey(r), {
      ...r,
      settled: r.settled + (existing?.settled ?? 0),
      unused: r.unused + (existing?.unused ?? 0),
    });
  });
  consumer.returns = [];
  return [...merged.values()];
};
