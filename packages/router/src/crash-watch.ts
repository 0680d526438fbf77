import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { BackendClient, CallFault } from '@hemlocksill/types/routing-ports.js';
import type { CrashRow } from '@hemlocksill/routing/crash-rows.js';
import { makeCrashSuspects, type BlockChange } from '@hemlocksill/routing/crash-suspects.js';
import { getRequestOfPart } from '@hemlocksill/routing/request-part.js';
import { runAfterReads } from '@hemlocksill/timers/run-after-reads.js';
import type { LogRouterEvent } from './events.js';
import { makeInstanceChecks } from './instance-checks.js';
import type { RouterMetrics } from './router-metrics.js';

/** Time after the beginning of an answer from which on a server that goes on with it has survived the request. */
const survivalMs = 1_000;

/** Silence of a server after which it is checked whether it has ended; doubled at each check. */
const silenceCheckMs = 1_500;

/** Retry-After of a request with a blocked part; the part stays blocked for long. */
export const blockedRetryAfterMs = 7_500;

/** Reason given to the caller of a request with a blocked part. */
export const getBlockedReason = (part: string): string =>
  getRequestOfPart(part) === undefined
    ? 'engines crash on a part of the prompt'
    : 'backend servers crash on this request';

/** Names a part in a log line: one of a prompt, or a whole request. */
export const describePart = (part: string): Readonly<Record<string, string>> => {
  const request = getRequestOfPart(part);
  return request === undefined ? { part } : { request };
};

/** Watches one run of a request at a backend server. */
export interface RunWatch {
  /** Records that the server answers: an event of a stream, or the head of another answer. */
  readonly recordEvent: () => void;
  /** Records that the answer ended as a whole. */
  readonly recordEnd: () => void;
  /**
   * Records that the connection broke; returns whether the request must not be sent to another server,
   * since another one had crashed on a part of it before.
   */
  readonly recordBreak: () => boolean;
  /** Ends the watch without a conclusion. */
  readonly stop: () => void;
}

/** Keeps requests on which backend servers crash from them, together with the other VMs. */
export interface CrashWatch {
  readonly recordArrival: (parts: readonly string[]) => void;
  /** Returns the blocked part for which a request must be refused, and counts the refusal. */
  readonly findBlocked: (parts: readonly string[], id: string) => string | undefined;
  /** Whether a server has crashed on a request with one of the parts. */
  readonly isSuspect: (parts: readonly string[]) => boolean;
  readonly watchRun: (parts: readonly string[], server: BackendServer) => RunWatch;
  readonly listForPeers: () => readonly CrashRow[];
  readonly recordPeer: (rows: readonly CrashRow[]) => void;
  readonly tick: () => void;
}

/** Dependencies of the watch. */
export interface CrashWatchDeps {
  readonly log: LogRouterEvent;
  readonly metrics: Pick<RouterMetrics, 'blockedRequests'>;
  /** Notifies the other VMs of a crash, a survival or a decision. */
  readonly notifyPeers: () => void;
  readonly now: () => number;
  readonly random: () => number;
  readonly checkInstance: BackendClient['checkInstance'];
}

/**
 * Whether a server may have crashed, by the fault of a call. One whose response was malformed goes on.
 *
 * @example
 * isCrash({ kind: 'unknown', reason: 'other side closed' }); // true
 */
export const isCrash = (fault: CallFault): boolean =>
  fault.kind === 'unknown' && !fault.isMalformed;

const unwatchedRun: RunWatch = {
  recordEvent: () => {},
  recordEnd: () => {},
  recordBreak: () => false,
  stop: () => {},
};

/**
 * Makes the watch of a VM, with nothing blocked.
 *
 * @example
 * const run = makeCrashWatch(deps).watchRun(['9c4'], server);
 * run.recordBreak(); // false: no engine had crashed on this part before
 */
export const makeCrashWatch = ({
  log,
  metrics,
  notifyPeers,
  now,
  random,
  checkInstance,
}: CrashWatchDeps): CrashWatch => {
  const logChange = (change: BlockChange): void => {
    if (change.kind === 'released') {
      log(2311, { ...describePart(change.part), reason: change.reason });
      return;
    }
    const { part, instances } = change;
    log(2310, { ...describePart(part), incidents: instances.length, instances });
  };
  const suspects = makeCrashSuspects(logChange, random);
  const checks = makeInstanceChecks({ checkInstance, log, now });
  const notifyIf = (mustNotify: boolean): void => {
    if (mustNotify) notifyPeers();
  };

  return {
    recordArrival: suspects.recordArrival,
    findBlocked: (parts, id) => {
      const part = suspects.findBlocked(parts, id, now());
      if (part !== undefined) metrics.blockedRequests.inc();
      return part;
    },
    isSuspect: (parts) => suspects.isSuspect(parts, now()),
    watchRun: (parts, server) => {
      if (parts.length === 0) return unwatchedRun;
      const suspect = suspects.findUnblocked(parts, now());
      if (suspect)
        log(2323, {
          ...suspect,
          ...describePart(suspect.part),
          server: server.id,
          startedAt: server.startedAt,
        });
      const instance = `${server.id}@${server.startedAt}`;
      const sentAt = now();
      let firstEventAt: number | undefined;
      let lastSignAt = sentAt;
      let silenceTimer: NodeJS.Timeout | undefined;
      let awaitsSigns = true;
      let hasSurvived = false;
      let hasBroken = false;
      const stopAwaiting = (): void => {
        awaitsSigns = false;
        clearTimeout(silenceTimer);
      };
      const recordSurvival = (): void => {
        if (hasSurvived || hasBroken) return;
        hasSurvived = true;
        stopAwaiting();
        notifyIf(suspects.recordSurvival(parts, now()));
      };
      const recordEnded = (): void => {
        if (hasSurvived) return;
        hasBroken = true;
        stopAwaiting();
        notifyIf(suspects.recordEnd(parts, instance, sentAt, now()));
      };
      const awaitSign = (timeoutMs: number): void => {
        const checkIfSilent = (): void => {
          if (!awaitsSigns) return;
          if (now() - lastSignAt < timeoutMs) {
            awaitSign(timeoutMs);
            return;
          }
          awaitSign(timeoutMs * 2);
          checks.check(server, sentAt, recordEnded);
        };
        silenceTimer = setTimeout(
          () => runAfterReads(checkIfSilent),
          Math.max(1, lastSignAt + timeoutMs - now()),
        );
      };
      awaitSign(silenceCheckMs);
      return {
        recordEvent: () => {
          lastSignAt = now();
          firstEventAt ??= lastSignAt;
          // A VM that is late may read the event and the break after it in one go.
          if (!hasSurvived && lastSignAt - firstEventAt >= survivalMs)
            runAfterReads(recordSurvival);
        },
        recordEnd: () => {
          stopAwaiting();
          if (firstEventAt !== undefined) recordSurvival();
        },
        recordBreak: () => {
          if (hasSurvived) return false;
          hasBroken = true;
          stopAwaiting();
          const wasSuspect = suspects.isSuspect(parts, now(), instance);
          notifyIf(suspects.recordCrash(parts, instance, now()));
          checks.check(server, sentAt, recordEnded);
          return wasSuspect;
        },
        stop: stopAwaiting,
      };
    },
    listForPeers: () => suspects.listForPeers(now()),
    recordPeer: (rows) => notifyIf(suspects.recordPeer(rows, now())),
    tick: () => notifyIf(suspects.tick(now())),
  };
};
