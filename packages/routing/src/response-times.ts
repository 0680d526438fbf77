import type { BackendServer } from '@hemlocksill/types/routing.js';
import { hashText } from './choose-holders.js';

/**
 * Time constant of the average that shows whether a server is slow now. A queue of 24 fills or empties in
 * 120 ms: in the replayed load, 150 ms and more let the VMs follow each other to the server that was fast before.
 */
const recentMs = 50;

/** Time constant of the average that a server falls back to without recent answers. */
const longMs = 10_000;

/** Weight of the long average, in samples; the recent one counts less a tenth of a second after its samples. */
const longWeight = 0.1;

/** Age up to which a sample counts as recent. */
const maxRecentAgeMs = 1_000;

/** Share by which the time of an idle server moves toward a slower answer. */
const idleRise = 0.005;

/**
 * Bounds of the time for which a server is skipped after it rejected a request as full. Within them it is
 * half of its response time, in which it works off half of its queue.
 */
const minFullMs = 20;
const maxFullMs = 500;

/** Time without a sample after which a server is forgotten. */
const expiryMs = 60_000;

/** Rows in one message. */
export const maxPlainRows = 8;

/** Largest number of samples that a peer's row may stand for; a larger one is cut to it. */
const maxRowSamples = 50;

/**
 * What a VM has learned about a server since its last message: short hash of the instance, number of
 * answers, their mean time in milliseconds, and for how many more milliseconds the server is skipped as full.
 */
export type PlainRow = readonly [string, number, number, number];

interface Times {
  /** Mean of the recent samples and their weight at `updatedAt`. */
  recentMeanMs: number;
  recentWeight: number;
  updatedAt: number;
  longMeanMs: number;
  /** Shortest usual response time, as of an idle server. */
  idleMs: number;
  /** Requests of this VM at the server while the recent samples were taken. */
  inFlight: number;
  fullUntil: number;
  /** Answers at this VM since the last message. */
  newCount: number;
  newSumMs: number;
  isNewFull: boolean;
  usedAt: number;
}

/** Recent response times of the instances of plain backend servers. */
export interface ResponseTimes {
  /** Records an answer; `inFlight` is the number of requests of this VM at the server. */
  readonly recordResponse: (
    server: BackendServer,
    latencyMs: number,
    inFlight: number,
    now: number,
  ) => void;
  /** Records that a request without an answer was given up after a time. */
  readonly recordAtLeast: (server: BackendServer, elapsedMs: number, now: number) => void;
  /** Records that a server rejected a request as full. */
  readonly recordFull: (server: BackendServer, now: number) => void;
  readonly isFull: (server: BackendServer, now: number) => boolean;
  readonly hasRecentSample: (server: BackendServer, now: number) => boolean;
  /** Predicts the response time of one more request; undefined for a server without history. */
  readonly predictMs: (server: BackendServer, inFlight: number, now: number) => number | undefined;
  readonly recordPeerRows: (rows: readonly PlainRow[], now: number) => void;
  /** Returns what is new since the last call, at most `maxPlainRows` servers. */
  readonly takeRows: (now: number) => PlainRow[];
  readonly hasNews: () => boolean;
}

const getKey = ({ id, startedAt }: BackendServer): string =>
  hashText(`${id} ${startedAt}`).toString(36);

/**
 * Creates a record without samples.
 *
 * A row that travels holds only answers at its sender, so that no answer counts twice at a receiver. Servers
 * are named by a hash of 32 bits: a full name would take most of a message.
 *
 * @example
 * const times = makeResponseTimes();
 * times.recordResponse(server, 30, 1, now);
 * times.predictMs(server, 1, now); // 30
 */
export const makeResponseTimes = (): ResponseTimes => {
  const timesByKey = new Map<string, Times>();

  const removeUnused = (now: number): void =>
    timesByKey.forEach(({ usedAt }, key) => {
      if (now - usedAt > expiryMs) timesByKey.delete(key);
    });

  const getOrCreate = (key: string, now: number): Times => {
    const existing = timesByKey.get(key);
    if (existing) {
      existing.usedAt = now;
      return existing;
    }
    removeUnused(now);
    const times: Times = {
      recentMeanMs: 0,
      recentWeight: 0,
      updatedAt: Number.NEGATIVE_INFINITY,
      longMeanMs: 0,
      idleMs: Number.POSITIVE_INFINITY,
      inFlight: 0,
      fullUntil: 0,
      newCount: 0,
      newSumMs: 0,
      isNewFull: false,
      usedAt: now,
    };
    timesByKey.set(key, times);
    return times;
  };

  const getWeight = ({ recentWeight, updatedAt }: Times, now: number): number =>
    recentWeight === 0 ? 0 : recentWeight * Math.exp((updatedAt - now) / recentMs);

  /** Adds samples and returns their share of the recent mean. */
  const addSamples = (times: Times, meanMs: number, count: number, now: number): number => {
    const weight = getWeight(times, now) + count;
    const share = count / weight;
    times.recentMeanMs += (meanMs - times.recentMeanMs) * share;
    const sinceMs = now - times.updatedAt;
    const longShare = 1 - Math.exp(-sinceMs / longMs);
    times.longMeanMs += (meanMs - times.longMeanMs) * longShare;
    times.recentWeight = weight;
    times.updatedAt = now;
    if (meanMs < times.idleMs) times.idleMs = meanMs;
    else times.idleMs += (meanMs - times.idleMs) * idleRise;
    return share;
  };

  const predict = (times: Times, now: number): number => {
    const weight = getWeight(times, now);
    return (times.recentMeanMs * weight + times.longMeanMs * longWeight) / (weight + longWeight);
  };

  const hasSamples = (times: Times | undefined): times is Times =>
    times !== undefined && times.recentWeight > 0;

  return {
    recordResponse: (server, latencyMs, inFlight, now) => {
      const times = getOrCreate(getKey(server), now);
      const share = addSamples(times, latencyMs, 1, now);
      times.inFlight += (inFlight - times.inFlight) * share;
      times.newCount += 1;
      times.newSumMs += latencyMs;
    },
    recordAtLeast: (server, elapsedMs, now) => {
      const times = getOrCreate(getKey(server), now);
      if (hasSamples(times) && predict(times, now) >= elapsedMs) return;
      addSamples(times, elapsedMs, 1, now);
      times.newCount += 1;
      times.newSumMs += elapsedMs;
    },
    recordFull: (server, now) => {
      const times = getOrCreate(getKey(server), now);
      const halfMs = hasSamples(times) ? predict(times, now) / 2 : minFullMs;
      times.fullUntil = now + Math.min(maxFullMs, Math.max(minFullMs, halfMs));
      times.isNewFull = true;
    },
    isFull: (server, now) => (timesByKey.get(getKey(server))?.fullUntil ?? 0) > now,
    hasRecentSample: (server, now) => {
      const times = timesByKey.get(getKey(server));
      return times !== undefined && now - times.updatedAt <= maxRecentAgeMs;
    },
    predictMs: (server, inFlight, now) => {
      const times = timesByKey.get(getKey(server));
      if (!hasSamples(times)) return undefined;
      // The samples were taken beside the usual number of own requests; only the difference is added.
      const extraMs = ((inFlight - times.inFlight) * times.idleMs) / Math.max(1, server.slots);
      return Math.max(times.idleMs, predict(times, now) + extraMs);
    },
    recordPeerRows: (rows, now) =>
      rows.slice(0, maxPlainRows).forEach(([key, count, meanMs, fullMs]) => {
        const times = getOrCreate(key, now);
        if (count > 0) addSamples(times, meanMs, Math.min(maxRowSamples, count), now);
        times.fullUntil = Math.max(times.fullUntil, now + Math.min(maxFullMs, fullMs));
      }),
    takeRows: (now) => {
      const rows: PlainRow[] = [];
      timesByKey.forEach((times, key) => {
        const { newCount, newSumMs, isNewFull, fullUntil } = times;
        if ((newCount === 0 && !isNewFull) || rows.length === maxPlainRows) return;
        rows.push([
          key,
          newCount,
          newCount === 0 ? 0 : Math.round(newSumMs / newCount),
          isNewFull ? Math.max(0, Math.round(fullUntil - now)) : 0,
        ]);
        times.newCount = 0;
        times.newSumMs = 0;
        times.isNewFull = false;
      });
      return rows;
    },
    hasNews: () =>
      [...timesByKey.values()].some(({ newCount, isNewFull }) => newCount > 0 || isNewFull),
  };
};
