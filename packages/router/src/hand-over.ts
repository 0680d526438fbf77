import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { CallFault, CancelCall } from '@hemlocksill/types/routing-ports.js';
import { startReadTimeout } from '@hemlocksill/timers/read-timeout.js';
import type { PreparedEngine } from './prepare-engine.js';

/** Delay before another engine is prepared for a silent stream, after none could be. */
const preparationRetryDelayMs = 200;

/**
 * Time after which a stream leaves its silent engine for one that has not rejected it; longer, both would
 * work on it.
 */
const takeoverDelayMs = 250;

/** Why a stream leaves its engine, unless that failed. */
export const silenceReason = 'the stream is silent';

/** The run that a stream leaves once another engine has taken the stream over. */
export interface PreviousRun {
  /** Ends the run. */
  readonly leave: (reason: string) => void;
  /** Stays with the run, since the other engine failed. */
  readonly keep: (fault: CallFault) => void;
}

/** A run at an engine that takes a stream over. */
export interface NextRun {
  readonly cancel: CancelCall;
  /** Ends the previous run and goes on. */
  readonly takeOver: (reason: string) => void;
}

/** What a hand-over does with the stream and its runs. */
export interface HandOverSteps {
  /** Whether the stream may go on at another engine. */
  readonly canMove: () => boolean;
  /** Time without an event after which another engine is prepared. */
  readonly getIdleTimeoutMs: () => number;
  readonly onSilent: (idleTimeoutMs: number) => void;
  /** Prepares another engine; reports undefined if none can be prepared now. */
  readonly prepare: (onDone: (prepared: PreparedEngine | undefined) => void) => CancelCall;
  /** Sends the stream to a prepared engine. */
  readonly run: (prepared: PreparedEngine, previousRun: PreviousRun) => NextRun;
  /** Ends this run, since the stream goes on at another engine. */
  readonly leave: (next: BackendServer, reason: string) => void;
  /** Records that the stream stays, since the other engine failed. */
  readonly stay: (next: BackendServer, fault: CallFault) => void;
}

/** Hands a silent stream over from the engine of one run to another engine. */
export interface HandOver {
  /** Waits for the next event; a hand-over that has begun is cancelled. */
  readonly restart: () => void;
  /** Cancels a hand-over that has begun. */
  readonly stop: () => void;
  /** Lets the other engine take the stream over now; returns false if it was not sent to one. */
  readonly tryComplete: (reason: string) => boolean;
}

/**
 * Makes the hand-over of one run. The stream stays where it is until another engine has taken it over:
 * its engine may be sound and go on.
 *
 * @example
 * const handOver = makeHandOver(steps);
 * handOver.restart(); // for each event of the stream
 */
export const makeHandOver = (steps: HandOverSteps): HandOver => {
  let cancelTimeout = (): void => {};
  let cancelPreparation: CancelCall = () => {};
  /** The run at the other engine that has not taken the stream over yet. */
  let nextRun: NextRun | undefined;

  const stop = (): void => {
    cancelTimeout();
    cancelPreparation();
    cancelPreparation = () => {};
    nextRun?.cancel();
    nextRun = undefined;
  };

  const moveTo = (prepared: PreparedEngine): void => {
    cancelTimeout = startReadTimeout(() => nextRun?.takeOver(silenceReason), takeoverDelayMs);
    nextRun = steps.run(prepared, {
      leave: (reason) => {
        nextRun = undefined;
        steps.leave(prepared.server, reason);
      },
      keep: (fault) => {
        nextRun = undefined;
        cancelTimeout();
        steps.stay(prepared.server, fault);
        if (steps.canMove()) cancelTimeout = startReadTimeout(prepare, preparationRetryDelayMs);
      },
    });
  };

  const prepare = (): void => {
    cancelPreparation = steps.prepare((prepared) => {
      if (prepared) moveTo(prepared);
      else cancelTimeout = startReadTimeout(prepare, preparationRetryDelayMs);
    });
  };

  return {
    restart: () => {
      stop();
      if (!steps.canMove()) return;
      const idleTimeoutMs = steps.getIdleTimeoutMs();
      cancelTimeout = startReadTimeout(() => {
        steps.onSilent(idleTimeoutMs);
        prepare();
      }, idleTimeoutMs);
    },
    stop,
    tryComplete: (reason) => {
      if (!nextRun) return false;
      nextRun.takeOver(reason);
      return true;
    },
  };
};
