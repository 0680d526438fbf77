/** A model backend server as it is observed. */
export interface ObservedServer {
  readonly name: string;
  readonly role: 'prefill' | 'decode';
  readonly model: string;
  /** Undefined while the server does not answer. */
  readonly version: string | undefined;
  readonly state: 'serving' | 'leaving' | 'loading' | 'unreachable';
  /** Requests that it holds, or for prefill servers queued tokens. */
  readonly heldRequests: number;
  /** Wall-clock time in milliseconds since which it gets no new work. */
  readonly leavingSince: number | undefined;
}

/** What the upgrade of one pool starts from. */
export interface UpgradeView {
  readonly model: string;
  readonly targetVersion: string;
  readonly slots: number;
  readonly servers: readonly ObservedServer[];
  /** Wall-clock time in milliseconds. */
  readonly now: number;
  readonly drainMs: number;
}

/** The one thing to do next for a pool. */
export type UpgradeStep =
  | { readonly kind: 'none' }
  /** Something is under way, or too much capacity would be lost. */
  | { readonly kind: 'wait'; readonly reason: 'draining' | 'loading' | 'capacity' | 'unreachable' }
  /** Stop giving new work to a server. */
  | { readonly kind: 'drain'; readonly server: string }
  /** Order a drained server to load the target version. */
  | { readonly kind: 'load'; readonly server: string; readonly version: string }
  /** Give new work to an upgraded server again. */
  | { readonly kind: 'reopen'; readonly server: string };

/** All VMs have stopped giving new work to a leaving server after so long. */
export const leavingPropagationMs = 3_000;

/** Share of the remaining slots that may be taken when a decode server is drained. */
const maxRemainingUtilization = 0.85;

const acceptsWork = (server: ObservedServer): boolean =>
  server.state === 'serving' && server.leavingSince === undefined;

const hasCapacityWithout = (view: UpgradeView, server: ObservedServer): boolean => {
  const others = view.servers.filter(
    (s) => s.role === server.role && s.name !== server.name && acceptsWork(s),
  );
  if (others.length === 0) return false;
  if (server.role === 'prefill') return true;
  const heldTotal = [...others, server].reduce((sum, s) => sum + s.heldRequests, 0);
  return heldTotal <= others.length * view.slots * maxRemainingUtilization;
};

const planLeaving = (view: UpgradeView, server: ObservedServer): UpgradeStep => {
  if (server.state === 'loading') return { kind: 'wait', reason: 'loading' };
  if (server.state === 'unreachable') return { kind: 'wait', reason: 'unreachable' };
  if (server.version === view.targetVersion) return { kind: 'reopen', server: server.name };
  const leavingMs = view.now - (server.leavingSince ?? view.now);
  const isDrained = leavingMs >= leavingPropagationMs && server.heldRequests === 0;
  if (isDrained || leavingMs >= view.drainMs)
    return { kind: 'load', server: server.name, version: view.targetVersion };
  return { kind: 'wait', reason: 'draining' };
};

/**
 * Plans the next step of a pool's upgrade from what is observed; it keeps no state, so
 * that any VM can go on where another stopped.
 *
 * One server at a time leaves, from either pool, and only while the others have room for
 * what it holds.
 *
 * @example
 * planUpgradeStep({ ...view, servers: [] }); // { kind: 'none' }
 */
export const planUpgradeStep = (view: UpgradeView): UpgradeStep => {
  const leaving = view.servers.find((s) => s.leavingSince !== undefined);
  if (leaving) return planLeaving(view, leaving);
  if (view.servers.some((s) => s.state === 'loading')) return { kind: 'wait', reason: 'loading' };
  const outdated = view.servers.filter(
    (s) => s.version !== undefined && s.version !== view.targetVersion && s.state === 'serving',
  );
  const first = [...outdated].sort((a, b) => a.heldRequests - b.heldRequests)[0];
  if (!first) return { kind: 'none' };
  const next =
    outdated.find((s) => s.heldRequests <= first.heldRequests && hasCapacityWithout(view, s)) ??
    outdated.find((s) => hasCapacityWithout(view, s));
  return next ? { kind: 'drain', server: next.name } : { kind: 'wait', reason: 'capacity' };
};
