import type { OnAnswer } from '@hemlocksill/types/routing-ports.js';
import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/** Time of all reads of an answer, and of one of them, from which on the answer is logged. */
const loggedHandlingMs = 50;
const loggedReadMs = 20;

/** Size from which on an answer that isn't whole is logged. */
const loggedFaultBytes = 64 * 1_024;

/** Dependencies of the watch. */
export interface AnswerWatchDeps {
  readonly log: LogRouterEvent;
  readonly metrics: Pick<
    RouterMetrics,
    'answerBytes' | 'answerPieces' | 'answerReadMs' | 'answerLongestReadMs'
  >;
}

/**
 * Makes the watch of what backend servers send. A line for each answer that was costly, or long and not whole, tells
 * the server of the bytes that kept a VM busy.
 *
 * @example
 * makeBackendClient(150, onNotice, routes, makeAnswerWatch({ log, metrics }));
 */
export const makeAnswerWatch =
  ({ log, metrics }: AnswerWatchDeps): OnAnswer =>
  (server, record) => {
    const { contentBytes, framingBytes, pieces, handlingMs, longestReadMs, fault } = record;
    metrics.answerBytes.inc({ part: 'content' }, contentBytes);
    metrics.answerBytes.inc({ part: 'framing' }, Math.max(0, framingBytes));
    metrics.answerPieces.inc(pieces);
    metrics.answerReadMs.inc(handlingMs);
    metrics.answerLongestReadMs.observe(longestReadMs);
    const isCostly = handlingMs >= loggedHandlingMs || longestReadMs >= loggedReadMs;
    const isLongFault = fault !== undefined && contentBytes + framingBytes >= loggedFaultBytes;
    if (!isCostly && !isLongFault) return;
    log(2326, {
      server: server.id,
      ...record,
      handlingMs: Math.round(handlingMs),
      longestReadMs: Math.round(longestReadMs),
    });
  };
