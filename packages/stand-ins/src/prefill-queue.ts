import type { EngineStart } from '@hemlocksill/types/engine-protocol.js';

/** A prefill that is waiting, running, or completed and kept for transfer to a decode engine. */
export interface PrefillJob {
  readonly start: EngineStart;
  readonly acceptedAt: number;
  state: 'waiting' | 'running' | 'kept';
  keptUntil: number;
  cachedPieces: number;
  /** Prompt tokens that were not in the cache. */
  computedTokens: number;
  readonly resolve: (result: 'done' | 'cancelled') => void;
}

interface QueueOptions {
  readonly prefillRate: number;
  readonly pieceTokens: number;
  readonly cachePieces: number;
  readonly keepPrefillMs: number;
  readonly getSlowdown: () => number;
  readonly onTokensComputed: (tokens: number) => void;
  /** Called with the computed tokens of a prefill that is cancelled or evicted before its transfer. */
  readonly onTokensWasted: (tokens: number) => void;
  readonly onCacheEvent: (kind: 'added' | 'evicted', piece: string) => void;
}

/** Simulates prefills one at a time, urgent ones first, with a least-recently-used prefix cache. */
export const makePrefillQueue = (opts: QueueOptions) => {
  const jobs = new Map<string, PrefillJob>();
  const cache = new Map<string, true>();
  let runningJob: PrefillJob | undefined;

  const countCachedPieces = (pieces: readonly string[]): number => {
    const firstMissing = pieces.findIndex((p) => !cache.has(p));
    return firstMissing < 0 ? pieces.length : firstMissing;
  };

  const recordUse = (piece: string): void => {
    if (cache.delete(piece)) {
      cache.set(piece, true);
      return;
    }
    cache.set(piece, true);
    opts.onCacheEvent('added', piece);
    const leastRecentlyUsed = cache.keys().next().value;
    if (cache.size > opts.cachePieces && leastRecentlyUsed !== undefined) {
      cache.delete(leastRecentlyUsed);
      opts.onCacheEvent('evicted', leastRecentlyUsed);
    }
  };

  const finishJob = (job: PrefillJob): void => {
    runningJob = undefined;
    if (jobs.get(job.start.id) === job) {
      job.start.pieces.forEach(recordUse);
      job.state = 'kept';
      job.keptUntil = performance.now() + opts.keepPrefillMs;
      job.resolve('done');
    }
    startNext();
  };

  const startNext = (): void => {
    if (runningJob) return;
    const waiting = [...jobs.values()].filter((j) => j.state === 'waiting');
    const next = waiting.find((j) => j.start.urgent) ?? waiting[0];
    if (!next) return;
    runningJob = next;
    next.state = 'running';
    next.cachedPieces = countCachedPieces(next.start.pieces);
    const missingTokens = next.start.promptTokens - next.cachedPieces * opts.pieceTokens;
    next.computedTokens = Math.max(16, missingTokens);
    opts.onTokensComputed(next.computedTokens);
    const durationMs = (next.computedTokens * 1_000) / opts.prefillRate;
    setTimeout(() => finishJob(next), durationMs * opts.getSlowdown());
  };

  return {
    jobs,
    enqueue: (start: EngineStart): Promise<'done' | 'cancelled'> =>
      new Promise((resolve) => {
        jobs.set(start.id, {
          start,
          acceptedAt: performance.now(),
          state: 'waiting',
          keptUntil: 0,
          cachedPieces: 0,
          computedTokens: 0,
          resolve,
        });
        startNext();
      }),
    cancel: (id: string): boolean => {
      const job = jobs.get(id);
      jobs.delete(id);
      if (!job) return false;
      opts.onTokensWasted(job.computedTokens);
      if (job.state !== 'kept') job.resolve('cancelled');
      return true;
    },
    /** Releases a result that has been transferred; false if it no longer exists. */
    release: (id: string): boolean => jobs.delete(id),
    evictExpired: (): void => {
      const now = performance.now();
      jobs.forEach((job, id) => {
        if (job.state !== 'kept' || job.keptUntil >= now) return;
        jobs.delete(id);
        opts.onTokensWasted(job.computedTokens);
      });
    },
    findKeptJob: (id: string): PrefillJob | undefined => {
      const job = jobs.get(id);
      return job?.state === 'kept' && job.keptUntil >= performance.now() ? job : undefined;
    },
    getQueuedTokens: (): number =>
      [...jobs.values()]
        .filter((j) => j.state !== 'kept')
        .reduce((sum, j) => sum + j.start.promptTokens, 0),
  };
};
