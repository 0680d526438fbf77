import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { CrashRow } from '@hemlocksill/routing/crash-rows.js';
import { makeCrashSuspects, type BlockChange } from '@hemlocksill/routing/crash-suspects.js';
import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/** Time after the first event of an answer by which its engine has survived the prompt. */
const survivalMs = 1_000;

/** Retry-After of a request with a blocked part; the part stays blocked for long. */
export const blockedRetryAfterMs = 7_500;

/** Reason given to the caller of such a request. */
export const blockedReason = 'engines crash on a part of the prompt';

/** Watches one run of a stream at a decode engine. */
export interface RunWatch {
  /** Records that an event was received. */
  readonly recordEvent: () => void;
  /** Records that the answer ended as a whole. */
  readonly recordEnd: () => void;
  /**
   * Records that the connection broke; returns whether the stream must not be sent to another engine,
   * since an engine had crashed on a part of its prompt before.
   */
  readonly recordBreak: () => boolean;
  /** Ends the watch without a conclusion. */
  readonly stop: () => void;
}

/** Keeps requests on which engines crash from the engines, together with the other VMs. */
export interface CrashWatch {
  readonly recordArrival: (parts: readonly string[]) => void;
  /** Returns the blocked part for which a request must be refused, and counts the refusal. */
  readonly findBlocked: (parts: readonly string[], id: string) => string | undefined;
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
}

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
}: CrashWatchDeps): CrashWatch => {
  const logChange = (change: BlockChange): void => {
    if (change.kind === 'released') {
      log(2311, { part: change.part, reason: change.reason });
      return;
    }
    const { part, instances } = change;
    log(2310, { part, incidents: instances.length, instances });
  };
  const suspects = makeCrashSuspects(logChange, random);
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
    watchRun: (parts, server) => {
      if (parts.length === 0) return unwatchedRun;
      let survivalTimer: NodeJS.Timeout | undefined;
      let hasSurvived = false;
      const recordSurvival = (): void => {
        if (hasSurvived) return;
        hasSurvived = true;
        notifyIf(suspects.recordSurvival(parts, now()));
      };
      return {
        recordEvent: () => {
          survivalTimer ??= setTimeout(recordSurvival, survivalMs);
        },
        recordEnd: () => {
          clearTimeout(survivalTimer);
          if (survivalTimer) recordSurvival();
        },
        recordBreak: () => {
          clearTimeout(survivalTimer);
          if (hasSurvived) return false;
          const wasSuspect = suspects.isSuspect(parts, now());
          notifyIf(suspects.recordCrash(parts, `${server.id}@${server.startedAt}`, now()));
          return wasSuspect;
        },
        stop: () => clearTimeout(survivalTimer),
      };
    },
    listForPeers: () => suspects.listForPeers(now()),
    recordPeer: (rows) => notifyIf(suspects.recordPeer(rows, now())),
    tick: () => notifyIf(suspects.tick(now())),
  };
};
