import type { DecodeState, PlacementRequest, PoolLimits, PrefillState } from './pool-types.js';

/** Pieces remembered for one prefill backend server. */
const rememberedPieces = 4_096;

/** Added time of a transfer between data centres, in milliseconds. */
const otherDataCentreMs = 2;

/** Leading pieces of a prompt that a backend server probably holds. */
export const countCachedPieces = (state: PrefillState, pieces: readonly string[]): number => {
  const missing = pieces.findIndex((piece) => !state.pieces.has(piece));
  return missing < 0 ? pieces.length : missing;
};

/** Expected time of a prefill, in milliseconds. */
export const getPrefillMs = (
  state: PrefillState,
  req: PlacementRequest,
  limits: PoolLimits,
): number => {
  const cached = countCachedPieces(state, req.pieces) * limits.pieceTokens;
  return (Math.max(0, req.promptTokens - cached) * 1_000) / limits.prefillRate;
};

/** Remembers that a backend server holds the pieces of a prompt. */
export const rememberPieces = (state: PrefillState, pieces: readonly string[]): void => {
  pieces.forEach((piece) => {
    state.pieces.delete(piece);
    state.pieces.add(piece);
  });
  for (const piece of state.pieces) {
    if (state.pieces.size <= rememberedPieces) return;
    state.pieces.delete(piece);
  }
};

/** A prefill backend server with the time at which it would be done. */
export interface PrefillChoice {
  readonly state: PrefillState;
  readonly doneAt: number;
  readonly costMs: number;
}

/**
 * Chooses the prefill backend server that would be done first, counting its queue and
 * the pieces that it probably holds.
 *
 * @param latestStart - a server that is busy for longer gets nothing yet
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
    if (state.accepting && start <= latestStart) {
      const costMs = getPrefillMs(state, req, limits);
      const doneAt = start + costMs;
      if (!best || doneAt < best.doneAt) best = { state, doneAt, costMs };
    }
  }
  return best;
};

/** Slots of a decode backend server that are taken, by anyone. */
export const countTaken = (state: DecodeState): number => state.held.size + state.foreign;

/** Chooses the decode backend server with the most free slots, near the prefill if equal. */
export const chooseDecode = (
  states: Iterable<DecodeState>,
  slots: number,
  dataCentre: string,
): DecodeState | undefined => {
  let best: DecodeState | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const state of states) {
    const taken = countTaken(state);
    const far = state.dataCentre === dataCentre ? 0 : otherDataCentreMs / 100;
    if (state.accepting && taken < slots && taken + far < bestScore) {
      best = state;
      bestScore = taken + far;
    }
  }
  return best;
};
