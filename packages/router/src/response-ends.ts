import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { BackendClient, InstanceResult } from '@hemlocksill/types/routing-ports.js';
import type { LogRouterEvent } from './events.js';
import { sleep } from './sleep.js';

/** Reason of the fault of a response whose server has ended. */
export const endedServerReason = 'the server ended with its response';

/** Reason of the fault of a response that goes on elsewhere since its server does not say whether it has ended. */
export const silentServerReason = 'the server is silent since its response ended';

/** Delay before a server whose answer could not be had is asked once more. */
const repeatDelayMs = 50;

/** Time after which an answer that could not be had is not asked for again. */
const repeatLimitMs = 150;

/** Time after which a silent server is not asked again; a sound one may be silent for a second. */
const silenceLimitMs = 1_000;

/** Time for which another instance than the listed one is remembered. */
const instanceTtlMs = 60_000;

/** An instance that answers in place of the listed one. */
interface FoundInstance {
  readonly startedAt: number;
  /** Time of the first check that found it. */
  readonly foundAt: number;
  lastFoundAt: number;
}

/** Why it can't be told whether a response is whole, in which case it counts as whole. */
export type EndDoubt = 'silent' | 'unknown';

/** Tells whole responses without a length from those that ended because their server did. */
export interface ResponseEnds {
  /**
   * Finds out whether a response without a length, to a request sent at `sentAt`, has just ended as a whole:
   * its server still runs, or it can't be told. One that another VM can't reach has ended. Never calls back before the
   * return. A silent server is asked again only if that is possible by `answerBy`.
   */
  readonly check: (
    server: BackendServer,
    sentAt: number,
    onDone: (isWhole: boolean, doubt?: EndDoubt) => void,
    answerBy?: number,
  ) => void;
}

const findDoubt = ({ kind }: InstanceResult): EndDoubt | undefined =>
  kind === 'silent' || kind === 'unknown' ? kind : undefined;

/** Dependencies of the checks. */
export interface ResponseEndDeps {
  readonly checkInstance: BackendClient['checkInstance'];
  readonly log: LogRouterEvent;
  /** Milliseconds on a monotonic clock. */
  readonly now: () => number;
}

/**
 * Makes the checks of a VM. When the process of a server is killed, the kernel closes its connections as if
 * their responses were over, so the server itself is asked which instance it is.
 *
 * @example
 * makeResponseEnds(deps).check(server, sentAt, (isWhole) => (isWhole ? end() : goOnElsewhere()));
 */
export const makeResponseEnds = ({ checkInstance, log, now }: ResponseEndDeps): ResponseEnds => {
  const others = new Map<string, FoundInstance>();

  /** Records which instance was found; returns whether it is the one that got a request sent at `sentAt`. */
  const recordFound = (server: BackendServer, foundStartedAt: number, sentAt: number): boolean => {
    const key = `${server.id}@${server.startedAt}`;
    if (foundStartedAt === server.startedAt) return true;
    const known = others.get(key);
    if (known?.startedAt === foundStartedAt) {
      known.lastFoundAt = now();
      return known.foundAt <= sentAt;
    }
    others.forEach(({ lastFoundAt }, other) => {
      if (now() - lastFoundAt > instanceTtlMs) others.delete(other);
    });
    others.set(key, { startedAt: foundStartedAt, foundAt: now(), lastFoundAt: now() });
    return false;
  };

  const isStillThere = (server: BackendServer, result: InstanceResult, sentAt: number): boolean =>
    findDoubt(result) !== undefined ||
    (result.kind === 'running' && recordFound(server, result.startedAt, sentAt));

  const ask = (server: BackendServer): Promise<InstanceResult> =>
    new Promise((resolve) => {
      checkInstance(server, resolve);
    });

  /** Asks until it can be told; `previous` is the result of the question before, if there was one. */
  const askUntilTold = async (
    server: BackendServer,
    startedAt: number,
    answerBy: number,
    previous?: InstanceResult,
  ): Promise<InstanceResult> => {
    const askedAt = now();
    const result = await ask(server);
    // A connection that a server opened while it was silent, or while it ended, breaks, which says nothing yet.
    const known = result.kind === 'unknown' && previous?.kind === 'silent' ? previous : result;
    const isLate = now() + repeatDelayMs + (now() - askedAt) > answerBy;
    const mayRepeat =
      known.kind === 'silent'
        ? !isLate && now() - startedAt < silenceLimitMs
        : known.kind === 'unknown' && !previous && now() - startedAt < repeatLimitMs;
    if (!mayRepeat) return known;
    await sleep(repeatDelayMs);
    return askUntilTold(server, startedAt, answerBy, known);
  };

  return {
    check: (server, sentAt, onDone, answerBy = Number.POSITIVE_INFINITY) => {
      void askUntilTold(server, now(), answerBy).then((result) => {
        const isWhole = isStillThere(server, result, sentAt);
        if (!isWhole)
          log(2324, {
            server: server.id,
            startedAt: server.startedAt,
            foundStartedAt: result.kind === 'running' ? result.startedAt : undefined,
            hasEnded: true,
          });
        onDone(isWhole, findDoubt(result));
      });
    },
  };
};
