import type { ServerResponse } from 'node:http';
import type { ResponseFlow } from '@hemlocksill/types/routing-ports.js';
import { makeCallerMemory, type CallerMemoryLimits } from '@hemlocksill/routing/caller-memory.js';
import { runAfterReads } from '@hemlocksill/timers/run-after-reads.js';
import type { LogRouterEvent } from './events.js';
import { makeJoinedWrites } from './joined-writes.js';
import type { RouterMetrics } from './router-metrics.js';

/** Interval at which callers with unread bytes are checked. */
const checkPeriodMs = 100;

/** The flow of one response to its caller. */
export interface CallerFlow extends ResponseFlow {
  /** Writes a piece of the response, or joins it to those that wait for an earlier write. */
  readonly write: (piece: Buffer) => void;
  /** Writes the pieces that wait. */
  readonly flush: () => void;
  /** Records bytes that were written to the response by others. */
  readonly recordWrite: (bytes: number) => void;
}

/** The flow of a response that is gathered whole before it is sent. */
export interface GatheredFlow extends ResponseFlow {
  /** Records how many bytes are held for what was received of the response. */
  readonly recordHeld: (heldBytes: number) => void;
  /** Called when the response is sent or given up. */
  readonly close: () => void;
}

/** The flows of all responses. */
export interface CallerFlows {
  /** `giveWay` breaks the response off. */
  readonly openGathered: (giveWay: () => void) => GatheredFlow;
  /** Reads only small responses of those that are gathered until `releaseGathered`. */
  readonly holdGathered: () => void;
  readonly releaseGathered: () => void;
  /** Makes responses that are gathered give way until they hold half of what they do. */
  readonly halveGathered: () => void;
  /** `fields` name the request in the log. */
  readonly open: (res: ServerResponse, fields: Readonly<Record<string, string>>) => CallerFlow;
}

/** Dependencies of the flows. */
export interface CallerFlowDeps {
  readonly log: LogRouterEvent;
  readonly metrics: Pick<RouterMetrics, 'unreadBytes' | 'gatheredBytes' | 'stalledCallers'>;
  readonly now: () => number;
}

/**
 * Makes the controller of back pressure: responses whose callers don't read are not read from their servers,
 * and callers without progress are disconnected.
 *
 * @example
 * const flow = makeCallerFlows(limits, deps).open(res, { id: 'r1' });
 */
export const makeCallerFlows = (limits: CallerMemoryLimits, deps: CallerFlowDeps): CallerFlows => {
  const memory = makeCallerMemory(limits);
  const { gathered } = memory;
  /** Checks of the responses with unread bytes. */
  const checks = new Set<() => void>();
  /** Checks of the gathered responses that are not read for now. */
  const gatheredChecks = new Set<() => void>();
  let isScheduled = false;

  const checkGathered = (): void => gatheredChecks.forEach((check) => check());

  let isCheckDue = false;
  /** The HTTP client resumes no response while it handles another one, which may be what has ended. */
  const checkGatheredSoon = (): void => {
    if (isCheckDue) return;
    isCheckDue = true;
    setImmediate(() => {
      isCheckDue = false;
      checkGathered();
    });
  };

  const scheduleCheck = (): void => {
    if (isScheduled || checks.size + gatheredChecks.size === 0) return;
    isScheduled = true;
    const runChecks = (): void => {
      isScheduled = false;
      checks.forEach((check) => check());
      checkGathered();
      if (gatheredChecks.size > 0) gathered.check(deps.now());
      deps.metrics.unreadBytes.set(memory.getUnreadBytes());
      scheduleCheck();
    };
    // After a time in which the process did not run, callers may have read what it has not seen yet.
    setTimeout(runAfterReads, checkPeriodMs, runChecks).unref();
  };

  const openGathered = (giveWay: () => void): GatheredFlow => {
    const bytes = gathered.open(giveWay);
    let resume = (): void => {};
    const check = (): void => {
      if (bytes.isFull()) return;
      gatheredChecks.delete(check);
      resume();
    };
    return {
      isFull: bytes.isFull,
      onRoom: (callback) => {
        resume = callback;
        gatheredChecks.add(check);
        scheduleCheck();
      },
      recordHeld: (heldBytes) => {
        bytes.update(heldBytes);
        deps.metrics.gatheredBytes.set(gathered.getBytes());
      },
      close: () => {
        bytes.close();
        deps.metrics.gatheredBytes.set(gathered.getBytes());
        gatheredChecks.delete(check);
        if (gatheredChecks.size > 0) checkGatheredSoon();
      },
    };
  };

  return {
    openGathered,
    holdGathered: gathered.hold,
    releaseGathered: () => {
      gathered.release();
      checkGatheredSoon();
    },
    halveGathered: gathered.halve,
    open: (res, fields) => {
      const account = memory.open();
      let written = 0;
      let roomCallbacks: (() => void)[] = [];
      let isClosed = false;

      const runRoomCallbacks = (): void => {
        const callbacks = roomCallbacks;
        roomCallbacks = [];
        callbacks.forEach((callback) => callback());
      };

      const update = (): number => {
        // The bytes of the framing are unread, too, but were not counted as written.
        const unread = Math.min(written, res.writableLength + writes.getWaitingBytes());
        account.update(written, unread, deps.now());
        if (unread > 0) checks.add(check);
        else checks.delete(check);
        return unread;
      };

      const disconnect = (unread: number): void => {
        deps.log(2315, { ...fields, unread, allUnread: memory.getUnreadBytes() });
        deps.metrics.stalledCallers.inc();
        // A reset also frees what the kernel holds, and can't be taken for the end of the response.
        if (res.socket) res.socket.resetAndDestroy();
        else res.destroy();
      };

      const check = (): void => {
        const unread = update();
        if (account.hasStalled(deps.now())) disconnect(unread);
        else if (!account.isFull()) runRoomCallbacks();
      };

      const recordWrite = (bytes: number): void => {
        if (isClosed) return;
        written += bytes;
        update();
        scheduleCheck();
      };

      const writes = makeJoinedWrites(res, () => {
        if (!isClosed) check();
      });

      res.on('drain', check);
      res.once('close', () => {
        isClosed = true;
        checks.delete(check);
        account.close();
        // By then the attempts of a caller that has left are cancelled.
        setImmediate(runRoomCallbacks);
      });

      return {
        isFull: () => !isClosed && account.isFull(),
        onRoom: (callback) => {
          if (isClosed) callback();
          else roomCallbacks.push(callback);
        },
        write: (piece) => {
          writes.write(piece);
          recordWrite(piece.length);
        },
        flush: writes.flush,
        recordWrite,
      };
    },
  };
};
