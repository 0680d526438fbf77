import type { DecodeState, PlacementRequest, PoolLimits, PrefillState } from './pool-types.js';

/** Maximum number of pieces tracked for one prefill backend server. */
const maxTrackedPieces = 4_096;

/** Additional time of a transfer between data centres, in milliseconds. */
const crossDataCentreMs = 2;

/** Counts the leading pieces of a prompt that a backend server probably has in its prefix cache. */
export const countCachedPieces = (state: PrefillState, pieces: readonly string[]): number => {
  const firstMissing = pieces.findIndex((piece) => !state.pieces.has(piece));
  return firstMissing < 0 ? pieces.length : firstMissing;
};

/** Predicts the duration of a prefill, in milliseconds. */
export const predictPrefillMs = (
  state: PrefillState,
  req: PlacementRequest,
  limits: PoolLimits,
): number => {
  const cached = countCachedPieces(state, req.pieces) * limits.pieceTokens;
  return (Math.max(0, req.promptTokens - cached) * 1_000) / limits.prefillRate;
};

/** Records that a backend server has the pieces of a prompt in its prefix cache. */
export const recordCachedPieces = (state: PrefillState, pieces: readonly string[]): void => {
  pieces.forEach((piece) => {
    state.pieces.delete(piece);
    state.pieces.add(piece);
  });
  for (const piece of state.pieces) {
    if (state.pieces.size <= maxTrackedPieces) return;
    state.pieces.delete(piece);
  }
};

/** A prefill backend server and when it would complete the prefill. */
export interface PrefillChoice {
  readonly state: PrefillState;
  readonly doneAt: number;
  /** Predicted duration of the prefill. */
  readonly costMs: number;
}

/**
 * Chooses the prefill backend server that would complete the prefill first, given the work
 * assigned to it and the pieces that it probably has in its prefix cache.
 *
 * @param latestStart - servers that are busy beyond this time are not chosen
 */
export const choosePrefill = (
  states: Iterable<PrefillState>,
  req: PlacementRequest,
  limits: PoolLimits,
  now: number,
  latestStart: number,
): PrefillChoice | undefined => {
  let best: PrefillChoice | undefined;
  for (const state of states) {
    const start = Math.max(now, state.busyUntil);
    if (state.isAccepting && start <= latestStart) {
      const costMs = predictPrefillMs(state, req, limits);
      const doneAt = start + costMs;
      if (!best || doneAt < best.doneAt) best = { state, doneAt, costMs };
    }
  }
  return best;
};

/** Counts the slots of a decode backend server that are in use, by any scheduler. */
export const countOccupiedSlots = (state: DecodeState): number =>
  state.occupiedSlots.size + state.externalSlots;

/**
 * Chooses the decode backend server with the fewest occupied slots; of equal ones, one in the
 * data centre of the prefill.
 */
export const chooseDecode = (
  states: Iterable<DecodeState>,
  slots: number,
  dataCentre: string,
): DecodeState | undefined => {
  let best: DecodeState | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const state of states) {
    const occupied = countOccupiedSlots(state);
    // Less than one slot, so that it decides only between servers with equally many occupied slots.
    const transferPenalty = state.dataCentre === dataCentre ? 0 : crossDataCentreMs / 100;
    if (state.isAccepting && occupied < slots && occupied + transferPenalty < bestScore) {
      best = state;
      bestScore = occupied + transferPenalty;
    }
  }
  return best;
};
