/** What a backend server stated about its limit in a response. */
export interface LimitStatement {
  /** Requests per second from all VMs together; undefined if there is no limit. */
  readonly requestsPerS: number | undefined;
  /** Times between which the server made the statement: the call and its response. */
  readonly sentAt: number;
  readonly receivedAt: number;
}

const isLower = (limit: number | undefined, other: number | undefined): boolean =>
  (limit ?? Number.POSITIVE_INFINITY) < (other ?? Number.POSITIVE_INFINITY);

/**
 * Chooses between two statements of the same instance. The later one counts; if their calls overlapped,
 * either may be the later one, and the lower limit counts.
 *
 * @param timeErrorMs - by how much the times of the received statement may be too late
 * @example
 * const limited = { requestsPerS: 2, sentAt: 0, receivedAt: 20 };
 * chooseStatement(limited, { requestsPerS: undefined, sentAt: 10, receivedAt: 15 }); // limited
 */
export const chooseStatement = (
  known: LimitStatement,
  received: LimitStatement,
  timeErrorMs = 0,
): LimitStatement => {
  if (received.sentAt >= known.receivedAt) return received;
  if (received.receivedAt <= known.sentAt + timeErrorMs) return known;
  return isLower(received.requestsPerS, known.requestsPerS) ? received : known;
};
