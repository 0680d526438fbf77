/** Observed state of a model backend server. */
export interface ObservedServer {
  readonly name: string;
  readonly role: 'prefill' | 'decode';
  readonly model: string;
  /** Undefined while the server is unreachable. */
  readonly version: string | undefined;
  readonly state: 'serving' | 'leaving' | 'loading' | 'unreachable';
  /** Number of requests that the server holds. */
  readonly heldRequests: number;
  /** Wall-clock time in milliseconds at which routing to the server stopped. */
  readonly leavingSince: number | undefined;
}

/** Input for planning one step of a pool upgrade. */
export interface UpgradeView {
  readonly model: string;
  readonly targetVersion: string;
  readonly slots: number;
  readonly servers: readonly ObservedServer[];
  /** Wall-clock time in milliseconds. */
  readonly now: number;
  readonly drainMs: number;
}

/** The next action for a pool. */
export type UpgradeStep =
  | { readonly kind: 'none' }
  /** A step is in progress, a server is unreachable or draining would remove too much capacity. */
  | { readonly kind: 'wait'; readonly reason: 'draining' | 'loading' | 'capacity' | 'unreachable' }
  /** Stop routing new requests to a server. */
  | { readonly kind: 'drain'; readonly server: string }
  /** Order a drained server to load the target version. */
  | { readonly kind: 'load'; readonly server: string; readonly version: string }
  /** Resume routing requests to an upgraded server. */
  | { readonly kind: 'reopen'; readonly server: string };

/** Time after which all VMs have learned that a server is leaving and route nothing to it. */
export const leavingPropagationMs = 3_000;

/** Maximum share of the remaining slots that may be in use after a decode server is drained. */
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
 * Plans the next step of a pool upgrade from the observed state of its servers.
 *
 * The function keeps no state, so that another VM can continue an upgrade at any step. At
 * most one server of the pool, prefill or decode, is drained at a time, and only while the
 * other servers of its role have capacity for the requests it holds.
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
  const leastBusy = [...outdated].sort((a, b) => a.heldRequests - b.heldRequests)[0];
  if (!leastBusy) return { kind: 'none' };
  const next =
    outdated.find((s) => s.heldRequests <= leastBusy.heldRequests && hasCapacityWithout(view, s)) ??
    outdated.find((s) => hasCapacityWithout(view, s));
  return next ? { kind: 'drain', server: next.name } : { kind: 'wait', reason: 'capacity' };
};
