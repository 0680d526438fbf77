import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { BackendClient, CancelCall, PrefillResult } from '@hemlocksill/types/routing-ports.js';
import type { MemoryAllocation } from '@hemlocksill/routing/engine-ledger.js';
import type { RunDeps } from './run-deps.js';
import type { ReservationOutcome, StreamEngines } from './stream-engines.js';

/** An engine that can run a stream at once: its memory is reserved and the prompt has been read. */
export interface PreparedEngine {
  readonly server: BackendServer;
  readonly prefilled: PrefillResult | undefined;
  readonly reservation: string | undefined;
  readonly allocation: MemoryAllocation;
}

/** Dependencies of the preparation of an engine. */
export type PrepareDeps = Pick<RunDeps, 'tryTakeRetry' | 'metrics'> & {
  readonly backends: Pick<BackendClient, 'releaseReservation' | 'releasePrefill'>;
};

/**
 * Prepares another engine for a stream that keeps running meanwhile; counts as a retry. `onDone` gets
 * undefined if no engine can be prepared now.
 *
 * @returns a function that cancels the preparation and releases what it holds
 * @example
 * const cancel = prepareEngine(deps, engines, 'llm', new Set(['i-1']), (prepared) => {});
 */
export const prepareEngine = (
  deps: PrepareDeps,
  engines: StreamEngines,
  service: string,
  excluded: ReadonlySet<string>,
  onDone: (prepared: PreparedEngine | undefined) => void,
): CancelCall => {
  const placement = engines.choosePlacement(excluded);
  if (!placement || !deps.tryTakeRetry(service)) {
    onDone(undefined);
    return () => {};
  }
  const { decode, prefill } = placement;
  const allocation = engines.allocateMemory(decode);
  let isPending = true;
  let reservation: string | undefined;
  let cancelPrefill: CancelCall = () => {};

  const release = (): void => {
    allocation.release();
    if (reservation !== undefined) deps.backends.releaseReservation(decode, reservation);
  };

  const giveUp = (): void => {
    isPending = false;
    release();
    onDone(undefined);
  };

  const finish = (prefilled: PrefillResult | undefined): void => {
    isPending = false;
    onDone({ server: decode, prefilled, reservation, allocation });
  };

  const readPrompt = (prefillServer: BackendServer): CancelCall =>
    engines.readPrompt({ ...placement, prefill: prefillServer }, (outcome) => {
      if (outcome.kind === 'fault') {
        engines.recordFault(prefillServer, 'prefill', outcome.fault);
        giveUp();
      } else if (engines.isStillReady(decode)) finish(outcome.result);
      else {
        deps.backends.releasePrefill(outcome.result);
        deps.metrics.wastedPromptTokens.inc(engines.requirement.promptTokens);
        giveUp();
      }
    });

  engines.reserve(placement, (outcome: ReservationOutcome) => {
    if (outcome.kind === 'reserved') reservation = outcome.reservation;
    if (!isPending) release();
    else if (outcome.kind !== 'reserved' && outcome.kind !== 'not-needed') giveUp();
    else if (prefill) cancelPrefill = readPrompt(prefill);
    else finish(undefined);
  });

  return () => {
    if (!isPending) return;
    isPending = false;
    cancelPrefill();
    release();
  };
};
