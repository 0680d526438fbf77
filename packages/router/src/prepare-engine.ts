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
export type PrepareDeps = Pick<
  RunDeps,
  'tryTakeRetry' | 'returnRetry' | 'recordFailingPrefill' | 'metrics'
> & {
  readonly backends: Pick<BackendClient, 'releaseReservation' | 'releasePrefill'>;
};

/**
 * Prepares another engine for a stream that keeps running meanwhile; counts as a retry once the prompt or
 * the stream is sent. `onDone` gets undefined if no engine can be prepared now.
 *
 * @param excluded - servers that are not chosen; a prefill engine that fails is added
 * @returns a function that cancels the preparation and releases what it holds
 * @example
 * const cancel = prepareEngine(deps, engines, 'llm', new Set(['i-1']), (prepared) => {});
 */
export const prepareEngine = (
  deps: PrepareDeps,
  engines: StreamEngines,
  service: string,
  excluded: Set<string>,
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
  let isRetryUsed = false;
  let reservation: string | undefined;
  let cancelPrefill: CancelCall = () => {};

  const release = (): void => {
    allocation.release();
    if (reservation !== undefined) deps.backends.releaseReservation(decode, reservation);
  };

  const stop = (): void => {
    isPending = false;
    release();
    if (!isRetryUsed) deps.returnRetry(service);
  };

  const giveUp = (): void => {
    stop();
    onDone(undefined);
  };

  const finish = (prefilled: PrefillResult | undefined): void => {
    isPending = false;
    isRetryUsed = true;
    onDone({ server: decode, prefilled, reservation, allocation });
  };

  const readPrompt = (prefillServer: BackendServer): CancelCall => {
    isRetryUsed = true;
    return engines.readPrompt({ ...placement, prefill: prefillServer }, (outcome) => {
      if (outcome.kind === 'fault') {
        const { kind, reason } = outcome.fault;
        engines.recordFault(prefillServer, 'prefill', outcome.fault);
        if (kind === 'rejected' && reason === 'full')
          deps.recordFailingPrefill(prefillServer, 'prompt-rejected');
        excluded.add(prefillServer.id);
        giveUp();
      } else if (engines.isStillReady(decode)) finish(outcome.result);
      else {
        deps.backends.releasePrefill(outcome.result);
        deps.metrics.wastedPromptTokens.inc(engines.requirement.promptTokens);
        giveUp();
      }
    });
  };

  engines.reserve(placement, (outcome: ReservationOutcome) => {
    if (outcome.kind === 'reserved') reservation = outcome.reservation;
    if (!isPending) release();
    else if (outcome.kind !== 'reserved' && outcome.kind !== 'not-needed') giveUp();
    else if (!engines.isStillReady(decode) || (prefill && !engines.isStillReady(prefill))) giveUp();
    else if (prefill) cancelPrefill = readPrompt(prefill);
    else finish(undefined);
  });

  return () => {
    if (!isPending) return;
    cancelPrefill();
    stop();
  };
};
