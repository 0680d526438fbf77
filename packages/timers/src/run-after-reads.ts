import type { Server } from 'node:net';

/** Runs a callback once what the operating system has received by now was read, and what it takes was written. */
export type RunAfterReads = (callback: () => void) => void;

/** Length of a turn of the event loop in which more may have arrived, and number of turns that are awaited. */
const longTurnMs = 50;
const maxTurns = 3;

/** Time for which reads are awaited that were made, but wait to be handled. */
const maxWaitingMs = 250;

let hasWaiting = (): boolean => false;

/**
 * Makes `runAfterReads` wait, for a time, while what was read waits to be handled.
 *
 * @param hasWaitingReads - whether something waits now
 * @example
 * awaitHandling(answerReads.hasLightWaiting);
 */
export const awaitHandling = (hasWaitingReads: () => boolean): void => {
  hasWaiting = hasWaitingReads;
};

/**
 * Runs a callback after the reads that are due. Timers come before them: in a process that has not run for a
 * while, a timer can't tell what has not been sent from what has not been read. What arrives in a long turn is read
 * in the next one. A connection that is paused is not read.
 *
 * @example
 * setTimeout(() => runAfterReads(() => closeIfIdle(socket)), 500);
 */
export const runAfterReads: RunAfterReads = (callback) => {
  let waitUntil: number | undefined;
  const mustWait = (): boolean => {
    if (!hasWaiting()) return false;
    waitUntil ??= performance.now() + maxWaitingMs;
    return performance.now() < waitUntil;
  };
  const runTurn = (turn: number): void => {
    const startedAt = performance.now();
    setImmediate(() => {
      const isLong = turn < maxTurns && performance.now() - startedAt >= longTurnMs;
      if (isLong || mustWait()) runTurn(turn + 1);
      else callback();
    });
  };
  runTurn(1);
};

/**
 * Resolves after the reads that are due, see `runAfterReads`.
 *
 * @example
 * await waitForReads();
 */
export const waitForReads = (): Promise<void> =>
  new Promise((resolve) => {
    runAfterReads(resolve);
  });

/**
 * Resolves once a listener has accepted the connections that wait, or at `deadline`, on the clock of
 * `performance.now()`. It takes one in each turn of the event loop. To stop listening resets those that it has not
 * accepted, and with them the requests that were sent on them.
 *
 * @example
 * await acceptWaiting(server, performance.now() + 500);
 * server.close();
 */
export const acceptWaiting = async (
  server: Pick<Server, 'on' | 'off'>,
  deadline: number,
): Promise<void> => {
  let hasAccepted = true;
  const recordAccept = (): void => {
    hasAccepted = true;
  };
  server.on('connection', recordAccept);
  while (hasAccepted && performance.now() < deadline) {
    hasAccepted = false;
    await waitForReads();
  }
  server.off('connection', recordAccept);
};
