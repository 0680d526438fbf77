import type { BackendServer, EngineLimits, EngineStage } from '@hemlocksill/types/routing.js';
import { computeRateSpread, minRateSpread } from './engine-rates.js';

/** Work that the streams of a service need, as rates that a share of the engines can serve. */
export interface StageDemand {
  /** Engines whose memory the running streams fill, on average. */
  readonly decodeEngines: number;
  /** Engines that the reading of prompts keeps busy, on average. */
  readonly prefillEngines: number;
}

/** A change of the stage of one engine. */
export interface StageChange {
  readonly server: BackendServer;
  readonly stage: EngineStage;
}

/** Share of their capacity up to which prefill engines respond without long queues. */
const maxPrefillUse = 0.8;

/** Engines by which the number of prefill engines may exceed its target before one is moved. */
const surplusMargin = 0.6;

/** Share of its target below which the number of prefill engines is raised again. */
const minPrefillShare = 0.4;

/** Time constant of the averages of demand. */
const averagingMs = 20_000;

/** Running streams below which the demand of a service is not known well enough. */
const minStreams = 6;

/** Measurements of a service at one moment. */
export interface StageSample {
  /** Memory tokens of all running streams. */
  readonly usedTokens: number;
  readonly streams: number;
  /** Average duration of a stream, from its placement to its end. */
  readonly streamMs: number;
  /** Average number of prompt tokens of a stream. */
  readonly promptTokens: number;
  /** Prompt tokens that one prefill engine reads per millisecond. */
  readonly prefillTokensPerMs: number;
}

/** Averages the demand of one service. */
export interface DemandAverage {
  readonly add: (sample: StageSample, limits: EngineLimits, now: number) => void;
  /** Average demand; undefined until enough streams were running for a while. */
  readonly get: () => StageDemand | undefined;
}

/** Time for which streams must have been running before the average is used. */
const minObservedMs = 2_000;

/**
 * Creates an empty average of the demand for stages.
 *
 * @example
 * const average = makeDemandAverage();
 * average.add(sample, limits, now);
 */
export const makeDemandAverage = (): DemandAverage => {
  let decodeEngines = 0;
  let prefillEngines = 0;
  let observedMs = 0;
  let lastAt: number | undefined;
  return {
    add: (sample, limits, now) => {
      const elapsedMs = lastAt === undefined ? 0 : now - lastAt;
      lastAt = now;
      if (sample.streams < minStreams || elapsedMs <= 0) return;
      const promptTokensPerMs = (sample.streams * sample.promptTokens) / sample.streamMs;
      const latestDecode = sample.usedTokens / limits.memoryTokens;
      const latestPrefill = promptTokensPerMs / sample.prefillTokensPerMs;
      observedMs += elapsedMs;
      const weight = Math.min(1, elapsedMs / Math.min(observedMs, averagingMs));
      decodeEngines += (latestDecode - decodeEngines) * weight;
      prefillEngines += (latestPrefill - prefillEngines) * weight;
    },
    get: () =>
      observedMs >= minObservedMs && prefillEngines > 0
        ? { decodeEngines, prefillEngines }
        : undefined,
  };
};

const groupByDataCentre = (servers: readonly BackendServer[]): Map<string, BackendServer[]> => {
  const groups = new Map<string, BackendServer[]>();
  servers.forEach((server) => {
    const group = groups.get(server.dataCentre);
    if (group) group.push(server);
    else groups.set(server.dataCentre, [server]);
  });
  return groups;
};

/**
 * Speed of an engine at its present stage, comparable only with engines of the same stage; undefined if it
 * is not known.
 */
export type GetEngineSpeed = (server: BackendServer) => number | undefined;

/** The fastest and the slowest engine; undefined unless the known speeds are uneven. */
const findUneven = (
  engines: readonly BackendServer[],
  getSpeed: GetEngineSpeed,
): { readonly fastest: BackendServer; readonly slowest: BackendServer } | undefined => {
  const known = engines
    .flatMap((server) => {
      const speed = getSpeed(server);
      return speed === undefined ? [] : [{ server, speed }];
    })
    .sort((a, b) => a.speed - b.speed);
  const [slowest] = known;
  const fastest = known.at(-1);
  if (!slowest || !fastest || fastest.speed < slowest.speed * minRateSpread) return undefined;
  return { fastest: fastest.server, slowest: slowest.server };
};

/** Chooses an engine of the data centre that has the most of them, by id among equals. */
const chooseFromLargestGroup = (servers: readonly BackendServer[]): BackendServer | undefined =>
  [...groupByDataCentre(servers).values()]
    .sort((a, b) => b.length - a.length || (a[0]?.id ?? '').localeCompare(b[0]?.id ?? ''))
    .at(0)
    ?.toSorted((a, b) => a.id.localeCompare(b.id))
    .at(0);

/**
 * Computes how many of a service's engines should run prefill so that memory for streams and the
 * reading of prompts are exhausted at the same load.
 *
 * @example
 * computePrefillTarget(6, { decodeEngines: 1.7, prefillEngines: 0.7 }); // 2.04
 */
export const computePrefillTarget = (engines: number, demand: StageDemand): number => {
  const prefillPerDecode = demand.prefillEngines / maxPrefillUse / demand.decodeEngines;
  return (engines * prefillPerDecode) / (1 + prefillPerDecode);
};

/**
 * Plans the next change of stage of a service's engines; undefined if none is worth its order.
 *
 * Load pattern: the platform starts a fixed share of the engines as prefill engines. Streams hold
 * memory for seconds while a prompt is read in a tenth of one, so that in a burst the decode
 * engines are full and the prefill engines mostly idle. One engine is moved at a time. If engines differ in
 * speed, the fast ones decode: a stream then holds memory for a shorter time, while prompts are read in a
 * fraction of their target latency by slow engines, too.
 *
 * @param servers - ready engines of the service, including those that change their stage now
 * @param changing - ids of engines that are changing their stage
 * @param blocked - ids of engines that did not follow earlier orders
 * @param getSpeed - speed of an engine among those of its stage
 * @example
 * planStageChange(servers, new Set(), new Set(), { decodeEngines: 1.7, prefillEngines: 0.7 });
 */
export const planStageChange = (
  servers: readonly BackendServer[],
  changing: ReadonlySet<string>,
  blocked: ReadonlySet<string>,
  demand: StageDemand | undefined,
  getSpeed: GetEngineSpeed = () => undefined,
): StageChange | undefined => {
  const settled = servers.filter((server) => !changing.has(server.id));
  const prefill = settled.filter((server) => server.stage === 'prefill');
  const decode = settled.filter((server) => server.stage === 'decode');
  const move = (engines: readonly BackendServer[], stage: EngineStage): StageChange | undefined => {
    const movable = engines.filter((server) => !blocked.has(server.id));
    const uneven = findUneven(movable, getSpeed);
    const server =
      (stage === 'decode' ? uneven?.fastest : uneven?.slowest) ?? chooseFromLargestGroup(movable);
    return server && { server, stage };
  };
  // Engines of one stage may all be lost at once, before any demand is known.
  if (decode.length === 0) return move(prefill, 'decode');
  if (prefill.length === 0 && changing.size === 0 && decode.length > 1)
    return move(decode, 'prefill');
  if (!demand) return undefined;
  const target = Math.max(1, computePrefillTarget(servers.length, demand));
  if (prefill.length - target >= surplusMargin && prefill.length > 1)
    return move(prefill, 'decode');
  if (prefill.length < target * minPrefillShare && decode.length > 1)
    return move(decode, 'prefill');
  // A slow decode engine takes the place of a fast prefill engine, which is then one too many.
  const decodeSpread = computeRateSpread(decode.flatMap((server) => getSpeed(server) ?? []));
  const isSwapWorth =
    changing.size === 0 && decodeSpread >= minRateSpread && findUneven(prefill, getSpeed);
  return isSwapWorth ? move(decode, 'prefill') : undefined;
};
