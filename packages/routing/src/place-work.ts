import type { BackendServer, EngineLimits } from '@hemlocksill/types/routing.js';
import {
  assumedOutputTokensPerS,
  assumedPrefillTokensPerMs,
  type EngineLedger,
} from './engine-ledger.js';
import type { ServerHealth } from './server-health.js';

/** Load share that a backend server in the VM's own data centre may have on top. */
const otherDataCentrePenalty = 0.15;

/** Weight of the share of failed calls against the share of load. */
const failureWeight = 2;

/** Extra milliseconds of a prefill whose memory must cross between data centres. */
const crossDataCentreTransferMs = 20;

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
const headroomMs = 1_000;

/** A request that needs an engine's memory. */
export interface MemoryRequirement {
  readonly promptTokens: number;
  /** Memory of the prompt and of the longest output that is allowed. */
  readonly maxTokens: number;
}

/** Memory that must stay free for the growth of the streams that run at an engine. */
export const getHeadroomTokens = (requests: number): number =>
  Math.ceil((requests * assumedOutputTokensPerS * headroomMs) / 1_000);

const isAvailable = (server: BackendServer, view: PlacementView): boolean =>
  !view.health.isCoolingDown(server.id, view.now);

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
    if (server.stage === 'prefill' || excluded.has(server.id) || !isAvailable(server, view)) return;
    if (view.ledger.isFull(server.id, view.now)) return;
    const load = view.ledger.getTotal(server.id, view.now);
    if (load.requests >= limits.slots) return;
    const neededTokens = load.tokens + need.promptTokens + getHeadroomTokens(load.requests + 1);
    if (neededTokens > limits.memoryTokens) return;
    const usedShare = load.tokens / limits.memoryTokens;
    const penalty = server.dataCentre === view.dataCentre ? 0 : otherDataCentrePenalty;
    const score = usedShare + penalty + failureWeight * view.health.failureShare(server.id);
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
    if (server.stage !== 'prefill' || excluded.has(server.id) || !isAvailable(server, view)) return;
    const load = view.ledger.getTotal(server.id, view.now);
    const processingMs = (load.prefillTokens + promptTokens) / assumedPrefillTokensPerMs;
    const transferMs = server.dataCentre === decodeDataCentre ? 0 : crossDataCentreTransferMs;
    const doneMs = processingMs + transferMs + 100 * view.health.failureShare(server.id);
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
  const available = servers.filter((s) => !excluded.has(s.id) && isAvailable(s, view));
  // Rather try a resting backend server than refuse.
  const candidates = available.length > 0 ? available : servers.filter((s) => !excluded.has(s.id));
  candidates.forEach((server) => {
    const usedShare =
      view.ledger.getTotal(server.id, view.now).requests / Math.max(1, server.slots);
    const penalty = server.dataCentre === view.dataCentre ? 0 : otherDataCentrePenalty;
    const score = usedShare + penalty + failureWeight * view.health.failureShare(server.id);
    if (score < bestScore) {
      best = server;
      bestScore = score;
    }
  });
  return best;
};
