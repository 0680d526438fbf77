import type { BackendServer, EngineLimits } from '@hemlocksill/types/routing.js';
import { getHeadroomTokens, type PlacementView } from './place-work.js';
import type { ServiceMemory } from './stream-admission.js';
import type { StreamTiming } from './stream-timing.js';

/**
 * Measures the memory of the decode engines of a service for streams that need `tokens` each. Only engines with
 * room for such a stream count as free, since parts of several engines are of no use to it.
 *
 * @example
 * measureMemory(servers, 3_300, limits, view, timing).freeTokens;
 */
export const measureMemory = (
  servers: readonly BackendServer[],
  tokens: number,
  limits: EngineLimits,
  view: Pick<PlacementView, 'ledger' | 'rates' | 'now'>,
  timing: Pick<StreamTiming, 'getStreamMs'>,
): ServiceMemory => {
  let usedTokens = 0;
  let freeTokens = 0;
  let streams = 0;
  let engines = 0;
  servers.forEach(({ id, stage }) => {
    if (stage === 'prefill') return;
    const load = view.ledger.getTotal(id, view.now);
    engines += 1;
    usedTokens += load.tokens;
    streams += load.requests;
    if (load.requests >= limits.slots || view.ledger.isFull(id, view.now)) return;
    const free =
      limits.memoryTokens - load.tokens - getHeadroomTokens(load.requests + 1, view.rates);
    if (free >= tokens) freeTokens += free;
  });
  const streamMs = timing.getStreamMs();
  return {
    usedTokens,
    freeTokens,
    streamMs,
    engineFreeMs: streams === 0 ? streamMs : Math.min(streamMs, (streamMs * engines) / streams),
  };
};
