import type { BackendServer, EngineLimits } from '@hemlocksill/types/routing.js';
import type { EngineLedger } from './engine-ledger.js';
import { minRateSpread, type EngineRates } from './engine-rates.js';
import type { ServerHealth } from './server-health.js';

/** Score penalty of a backend server in another data centre, as a share of load. */
export const otherDataCentrePenalty = 0.3;

/** Score penalty of a decode engine whose streams could not go on elsewhere: no other has its version. */
const loneVersionPenalty = 0.3;

/** Score penalty of a decode engine that must read prompts itself: no prefill engine has its version. */
const noPrefillPenalty = 0.3;

/** Weight of the share of failed calls relative to the share of load. */
export const failureWeight = 2;

/** Additional time to transfer a prefill's memory between data centres, in milliseconds. */
const crossDataCentreTransferMs = 20;

/** Weight of the expected time of a stream, in times of the fastest engine, relative to the share of load. */
const speedWeight = 0.5;

/** Share of an engine's memory up to which a fast engine is filled before slower ones. */
const fillShare = 0.7;

/** Weight of the share of load above `fillShare`. */
const overfillWeight = 4;

/** Share of the engines with memory, the best ones, of which two are drawn. */
const drawShare = 0.15;

/** Inputs of a placement decision. */
export interface PlacementView {
  readonly ledger: EngineLedger;
  readonly health: ServerHealth;
  /** Whether a backend server may get another request under the limit that it names. */
  readonly hasRoom: (server: BackendServer) => boolean;
  readonly rates: EngineRates;
  readonly dataCentre: string;
  readonly now: number;
  /** Set if streams are placed by the rates of single engines; draws a number in [0, 1). */
  readonly rateDraw?: () => number;
}

/**
 * Time for which running streams must be able to grow until one of them ends. At a full engine
 * several streams end per second, each of which frees more memory than the others need.
 */
const headroomMs = 1_500;

/** Engine memory that a request needs. */
export interface MemoryRequirement {
  readonly promptTokens: number;
  /** Memory of the prompt and of the maximum output. */
  readonly maxTokens: number;
}

/** Returns the memory tokens that must stay free for the growth of an engine's streams. */
export const getHeadroomTokens = (requests: number, rates: EngineRates): number =>
  Math.ceil((requests * rates.getOutputTokensPerS() * headroomMs) / 1_000);

/** Whether a backend server takes requests now; one that cools down is used if there is no other. */
export const isAllowed = (server: BackendServer, view: PlacementView): boolean =>
  !view.health.isPaused(server.id, view.now) && view.hasRoom(server);

/**
 * Returns a function that rates decode engines by their software version. What engines of different versions
 * write doesn't fit together: a stream and its prompt stay at one version.
 */
const rateVersions = (servers: readonly BackendServer[]): ((server: BackendServer) => number) => {
  const [first] = servers;
  if (servers.every(({ softwareVersion }) => softwareVersion === first?.softwareVersion))
    return () => 0;
  const decodeCounts = new Map<string, number>();
  const prefillVersions = new Set<string>();
  servers.forEach(({ softwareVersion, stage }) => {
    if (stage === 'prefill') prefillVersions.add(softwareVersion);
    else decodeCounts.set(softwareVersion, (decodeCounts.get(softwareVersion) ?? 0) + 1);
  });
  return ({ softwareVersion }) =>
    ((decodeCounts.get(softwareVersion) ?? 0) > 1 ? 0 : loneVersionPenalty) +
    (prefillVersions.has(softwareVersion) ? 0 : noPrefillPenalty);
};

/** Whether a backend server takes requests now and does not cool down. */
export const isAvailable = (server: BackendServer, view: PlacementView): boolean =>
  !view.health.isCoolingDown(server.id, view.now) && isAllowed(server, view);

/** Whether a backend server that may still be faulty has a request of this VM, so that it gets no other one. */
export const isTried = ({ id }: BackendServer, { health, ledger }: PlacementView): boolean =>
  health.isOnTrial(id) && ledger.getLocalRequests(id) > 0;

/** A decode engine with memory for a stream. */
interface DecodeCandidate {
  readonly server: BackendServer;
  /** Share of the engine's memory that is in use. */
  readonly usedShare: number;
  /** Score of everything but load and speed; lower is better. */
  readonly penalty: number;
}

/** Lists the decode engines that have memory for a stream now. */
const listDecodeCandidates = (
  servers: readonly BackendServer[],
  requirement: MemoryRequirement,
  limits: EngineLimits,
  view: PlacementView,
  excluded: ReadonlySet<string>,
): readonly DecodeCandidate[] => {
  const getVersionPenalty = rateVersions(servers);
  return servers.flatMap((server) => {
    if (server.stage === 'prefill' || excluded.has(server.id) || !isAvailable(server, view))
      return [];
    if (view.ledger.isFull(server.id, view.now)) return [];
    const load = view.ledger.getTotal(server.id, view.now);
    if (load.requests >= limits.slots) return [];
    const neededTokens =
      load.tokens + requirement.promptTokens + getHeadroomTokens(load.requests + 1, view.rates);
    if (neededTokens > limits.memoryTokens) return [];
    const distancePenalty = server.dataCentre === view.dataCentre ? 0 : otherDataCentrePenalty;
    const penalty =
      distancePenalty +
      getVersionPenalty(server) +
      failureWeight * view.health.getFailureShare(server.id);
    return [{ server, usedShare: load.tokens / limits.memoryTokens, penalty }];
  });
};

/** Whether a decode engine is available that is not on trial, whether or not it has memory now. */
const hasUntriedDecode = (
  servers: readonly BackendServer[],
  view: PlacementView,
  excluded: ReadonlySet<string>,
): boolean =>
  servers.some(
    (server) =>
      server.stage !== 'prefill' &&
      !excluded.has(server.id) &&
      !view.health.isOnTrial(server.id) &&
      isAvailable(server, view),
  );

const findBest = (
  candidates: readonly DecodeCandidate[],
  getScore: (candidate: DecodeCandidate) => number,
): DecodeCandidate | undefined => {
  let best: DecodeCandidate | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  candidates.forEach((candidate) => {
    const score = getScore(candidate);
    if (score >= bestScore) return;
    best = candidate;
    bestScore = score;
  });
  return best;
};

/**
 * Chooses by expected completion time: fast engines, which free their memory sooner, are filled first, up to
 * a share of their memory. VMs whose information is some milliseconds old would choose the same engine, so
 * that each chooses the better of two drawn ones.
 */
const chooseByRate = (
  candidates: readonly DecodeCandidate[],
  view: PlacementView,
  draw: () => number,
): DecodeCandidate | undefined => {
  const rateList = candidates.map(({ server }) => view.rates.getEngineOutputTokensPerS(server));
  const fastest = Math.max(...rateList);
  const scored = candidates.map((candidate, index) => ({
    candidate,
    score:
      // Time to the end of the stream, as a multiple of the fastest engine's.
      speedWeight * (fastest / (rateList[index] ?? fastest)) +
      candidate.usedShare +
      overfillWeight * Math.max(0, candidate.usedShare - fillShare) +
      candidate.penalty,
  }));
  scored.sort((a, b) => a.score - b.score);
  const drawn = scored.slice(0, Math.max(2, Math.ceil(scored.length * drawShare)));
  const first = Math.floor(draw() * drawn.length);
  const second = Math.floor(draw() * drawn.length);
  // The list is ordered by score, the better one first.
  return drawn[Math.min(first, second)]?.candidate;
};

/**
 * Chooses the decode engine with the most free memory, or, if the engines are known to run at uneven speed and
 * streams are placed by it, with the earliest expected end of the stream.
 *
 * Load pattern: prompts of uneven size fill the memory of engines whose slots are mostly free,
 * and outputs end long before their maximum length. Only the memory in use is counted, prompt
 * and output so far: counting the maximum output would leave a third of the memory idle. While the engines
 * are upgraded, a version with few engines is avoided, whose streams could not go on elsewhere.
 *
 * @example
 * chooseDecode(servers, { promptTokens: 3_000, maxTokens: 6_060 }, limits, view, new Set());
 */
export const chooseDecode = (
  servers: readonly BackendServer[],
  requirement: MemoryRequirement,
  limits: EngineLimits,
  view: PlacementView,
  excluded: ReadonlySet<string>,
): BackendServer | undefined => {
  const allCandidates = listDecodeCandidates(servers, requirement, limits, view, excluded);
  // A stream waits for memory of an engine that answers rather than join others at one that may be faulty.
  const candidates = hasUntriedDecode(servers, view, excluded)
    ? allCandidates.filter(({ server }) => !isTried(server, view))
    : allCandidates;
  const { rateDraw } = view;
  const isUneven =
    rateDraw !== undefined &&
    view.rates.getOutputSpread(servers.filter(({ stage }) => stage !== 'prefill')) >= minRateSpread;
  const best = isUneven
    ? chooseByRate(candidates, view, rateDraw)
    : findBest(candidates, ({ usedShare, penalty }) => usedShare + penalty);
  return best?.server;
};

/**
 * Chooses the prefill engine with the earliest expected result at the decode engine, which must have the
 * same software version.
 *
 * @example
 * choosePrefill(servers, 3_000, decode, view, new Set());
 */
export const choosePrefill = (
  servers: readonly BackendServer[],
  promptTokens: number,
  decode: Pick<BackendServer, 'dataCentre' | 'softwareVersion'>,
  view: PlacementView,
  excluded: ReadonlySet<string>,
): { readonly server: BackendServer; readonly expectedMs: number } | undefined => {
  let best: BackendServer | undefined;
  let bestMs = Number.POSITIVE_INFINITY;
  const allowed = servers.filter(
    (server) =>
      server.stage === 'prefill' &&
      server.softwareVersion === decode.softwareVersion &&
      !excluded.has(server.id) &&
      isAllowed(server, view),
  );
  const available = allowed.filter((server) => isAvailable(server, view));
  // If all prefill engines are cooling down, one of them is tried rather than no stream placed.
  (available.length > 0 ? available : allowed).forEach((server) => {
    const load = view.ledger.getTotal(server.id, view.now);
    const tokensPerMs = view.rateDraw
      ? view.rates.getEnginePrefillTokensPerMs(server)
      : view.rates.getPrefillTokensPerMs();
    const processingMs = (load.prefillTokens + promptTokens) / tokensPerMs;
    const transferMs = server.dataCentre === decode.dataCentre ? 0 : crossDataCentreTransferMs;
    const expectedMs = processingMs + transferMs + 100 * view.health.getFailureShare(server.id);
    if (expectedMs < bestMs) {
      best = server;
      bestMs = expectedMs;
    }
  });
  return best && { server: best, expectedMs: bestMs };
};
