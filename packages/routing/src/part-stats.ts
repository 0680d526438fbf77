import { isRequestPart } from './request-part.js';

/** Parts of prompts, and requests, that are remembered in one VM's memory. */
const maxCountedParts = 2_048;

interface Stats {
  requests: number;
  /** Position in the prompt, -1 if no request was seen here. */
  depth: number;
  survivedAt: number;
}

/** How often the parts of prompts were seen at this VM, and when an engine last survived each. */
export interface PartStats {
  /** Counts a request; its parts are given in the order of the prompt. */
  readonly recordArrival: (parts: readonly string[]) => void;
  /** Records that an engine survived a part; returns false if a later survival is known. */
  readonly recordSurvival: (part: string, at: number) => boolean;
  /** Time of the last survival, minus infinity if none is known. */
  readonly getSurvivedAt: (part: string) => number;
  /** Whether it is known here how rare a part is: a request with it was seen, or it is a whole request. */
  readonly isKnown: (part: string) => boolean;
  /**
   * Orders parts by how likely they are the cause of a crash: whole requests, then rare parts of prompts,
   * then those late in the prompt.
   */
  readonly compare: (first: string, second: string) => number;
}

/**
 * Creates statistics without parts; the least recently used part is forgotten first.
 *
 * @example
 * makePartStats().isKnown('9c4'); // false
 */
export const makePartStats = (): PartStats => {
  /** In order of use, the least recent first. */
  const promptStats = new Map<string, Stats>();
  /** Most requests come once; they must not push out the parts that others share. */
  const requestStats = new Map<string, Stats>();

  const getStats = (part: string): Map<string, Stats> =>
    isRequestPart(part) ? requestStats : promptStats;

  const touch = (part: string): Stats => {
    const statsByPart = getStats(part);
    const stats = statsByPart.get(part) ?? {
      requests: 0,
      depth: -1,
      survivedAt: Number.NEGATIVE_INFINITY,
    };
    statsByPart.delete(part);
    statsByPart.set(part, stats);
    const [oldest] = statsByPart.keys();
    if (statsByPart.size > maxCountedParts && oldest !== undefined) statsByPart.delete(oldest);
    return stats;
  };

  return {
    recordArrival: (parts) =>
      parts.forEach((part, depth) => {
        const stats = touch(part);
        stats.requests += 1;
        stats.depth = Math.max(stats.depth, depth);
      }),
    recordSurvival: (part, at) => {
      const stats = touch(part);
      if (at <= stats.survivedAt) return false;
      stats.survivedAt = at;
      return true;
    },
    getSurvivedAt: (part) => getStats(part).get(part)?.survivedAt ?? Number.NEGATIVE_INFINITY,
    isKnown: (part) => isRequestPart(part) || (promptStats.get(part)?.requests ?? 0) > 0,
    compare: (first, second) => {
      const firstStats = promptStats.get(first);
      const secondStats = promptStats.get(second);
      return (
        Number(isRequestPart(second)) - Number(isRequestPart(first)) ||
        (firstStats?.requests ?? 0) - (secondStats?.requests ?? 0) ||
        (secondStats?.depth ?? -1) - (firstStats?.depth ?? -1)
      );
    },
  };
};
