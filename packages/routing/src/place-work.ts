import type { BackendServer, EngineLimits } from '@hemlocksill/types/routing.js';
import {
  assumedGrowthPerS,
  assumedPrefillTokensPerMs,
  type EngineLedger,
} from './engine-ledger.js';
import type { ServerHealth } from './server-health.js';

/** Load share that a backend server in the VM's own data centre may have on top. */
const sameDataCentreBonus = 0.15;

/** Weight of the share of failed calls against the share of load. */
const failureWeight = 2;

/** Extra milliseconds of a prefill whose memory must cross between data centres. */
const otherDataCentreMs = 20;

/** What placement knows when it chooses. */
export interface PlacementView {
  readonly ledger: EngineLedger;
  readonly health: ServerHealth;
  readonly dataCentre: string;
  readonly now: number;
}

/**
 * Time for which running streams must be able to grow before one of them ends. Streams of a
 * full engine end several times a second and free more than the others need.
 */
const growthMs = 1_000;

/** A request that needs an engine's memory. */
export interface MemoryRequirement {
  readonly promptTokens: number;
  /** Memory of the prompt and of the longest output that is allowed. */
  readonly maxTokens: number;
}

/** Memory that must stay free for the growth of the streams that run at an engine. */
export const headroomFor = (requests: number): number =>
  Math.ceil((requests * assumedGrowthPerS * growthMs) / 1_000);

const isOpen = (server: BackendServer, view: PlacementView): boolean =>
  !view.health.isResting(server.id, view.now);

/**
 * Chooses the decode engine with the most free memory.
 *
 * Load pattern: prompts of uneven size fill engines whose slots are mostly free, and outputs
 * end long before they reach their allowed length. Memory is counted as it is used, prompt
 * and output so far: reserving the longest output would leave a third of it idle.
 *
 * @example
 * chooseDecode(servers, { promptTokens: 3_000, mostTokens: 6_060 }, limits, view, new Set());
 */
export const chooseDecode = (
  servers: readonly BackendServer[],
  need: MemoryRequirement,
  limits: EngineLimits,
  view: PlacementView,
  excluded: ReadonlySet<string>,
): BackendServer | undefined => {
  let best: BackendServer | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  servers.forEach((server) => {
    if (server.stage === 'prefill' || excluded.has(server.id) || !isOpen(server, view)) return;
    if (view.ledger.isFull(server.id, view.now)) return;
    const load = view.ledger.getTotal(server.id, view.now);
    if (load.requests >= limits.slots) return;
    const needed = load.tokens + need.promptTokens + headroomFor(load.requests + 1);
    if (needed > limits.memoryTokens) return;
    const taken = load.tokens / limits.memoryTokens;
    const far = server.dataCentre === view.dataCentre ? 0 : sameDataCentreBonus;
    const score = taken + far + failureWeight * view.health.failureShare(server.id);
    if (score < bestScore) {
      best = server;
      bestScore = score;
    }
  });
  return best;
};

/**
 * Chooses the prefill engine that will have read the prompt first, near its decode engine.
 *
 * @example
 * choosePrefill(servers, 3_000, 'north-a', view, new Set());
 */
export const choosePrefill = (
  servers: readonly BackendServer[],
  promptTokens: number,
  decodeDataCentre: string,
  view: PlacementView,
  excluded: ReadonlySet<string>,
): { readonly server: BackendServer; readonly expectedMs: number } | undefined => {
  let best: BackendServer | undefined;
  let bestMs = Number.POSITIVE_INFINITY;
  servers.forEach((server) => {
    if (server.stage !== 'prefill' || excluded.has(server.id) || !isOpen(server, view)) return;
    const load = view.ledger.getTotal(server.id, view.now);
    const readMs = (load.prefillTokens + promptTokens) / assumedPrefillTokensPerMs;
    const farMs = server.dataCentre === decodeDataCentre ? 0 : otherDataCentreMs;
    const doneMs = readMs + farMs + 100 * view.health.failureShare(server.id);
    if (doneMs < bestMs) {
      best = server;
      bestMs = doneMs;
    }
  });
  return best && { server: best, expectedMs: bestMs };
};

/**
 * Chooses a backend server of a plain service by the share of its slots that is taken.
 *
 * @example
 * choosePlain(servers, view, new Set(['i-1']));
 */
export const choosePlainServer = (
  servers: readonly BackendServer[],
  view: PlacementView,
  excluded: ReadonlySet<string>,
): BackendServer | undefined => {
  let best: BackendServer | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  const open = servers.filter((s) => !excluded.has(s.id) && isOpen(s, view));
  // Rather try a resting backend server than refuse.
  const candidates = open.length > 0 ? open : servers.filter((s) => !excluded.has(s.id));
  candidates.forEach((server) => {
    const taken = view.ledger.getTotal(server.id, view.now).requests / Math.max(1, server.slots);
    const far = server.dataCentre === view.dataCentre ? 0 : sameDataCentreBonus;
    const score = taken + far + failureWeight * view.health.failureShare(server.id);
    if (score < bestScore) {
      best = server;
      bestScore = score;
    }
  });
  return best;
};
