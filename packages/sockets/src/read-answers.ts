import type { Socket } from 'node:net';
import { makeReadSlices, type SlicedReads, type SliceRecord } from './read-slices.js';
import { reportResets } from './report-resets.js';

/** The reads of this process, which has one event loop. */
export const answerReads = makeReadSlices({ now: () => performance.now() });

/**
 * Prepares a connection on which answers arrive, before it is read: a reset is an error, and what is read is handled in
 * slices.
 *
 * @param onSlice - receives the size and the time of each slice
 * @example
 * const reads = readAnswers(socket, ({ ms }) => recordTime(ms));
 */
export const readAnswers = (
  socket: Socket,
  onSlice?: (record: SliceRecord) => void,
): SlicedReads => {
  reportResets(socket);
  return answerReads.add(socket, onSlice);
};
