import type { BackendServer } from '@hemlocksill/types/routing.js';
import type {
  BackendClient,
  CallFault,
  CancelCall,
  ResponseHead,
} from '@hemlocksill/types/routing-ports.js';
import type { CallContext } from './call-context.js';
import type { GatheredFlow } from './caller-flows.js';
import type { CrashWatch } from './crash-watch.js';
import { endedServerReason } from './response-ends.js';
import type { RunDeps } from './run-deps.js';

/** Maximum size of a buffered response; a larger response counts as a fault. */
const maxBufferedBytes = 4 * 1_024 * 1_024;

/** The complete response of a backend server. */
export interface PlainResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** Result of an attempt that was not cancelled. */
export type AttemptOutcome =
  | { readonly kind: 'response'; readonly response: PlainResponse }
  | {
      readonly kind: 'fault';
      readonly fault: CallFault;
      /** Whether the request must not be sent to another server, since servers crash on it. */
      readonly isCrashing: boolean;
    };

/** Dependencies of an attempt. */
export type AttemptDeps = Pick<RunDeps, 'plainLedger' | 'responseEnds' | 'now'> & {
  readonly backends: Pick<BackendClient, 'send'>;
  readonly crashWatch: Pick<CrashWatch, 'watchRun'>;
  /** Opens the flow of a response, which holds back servers while callers hold too much. */
  readonly openGathered: () => GatheredFlow;
};

/** An attempt in progress. */
export interface PlainAttempt {
  readonly cancel: CancelCall;
  /** Whether the response is not read for now, so that it is late through no fault of its server. */
  readonly isHeldBack: () => boolean;
}

/** Whether a response is an error of its server. */
export const isServerError = ({ status }: ResponseHead): boolean => status >= 500;

/**
 * Sends a request to a plain backend server and buffers the complete response.
 *
 * @param onDone - called once, unless the attempt is cancelled before; possibly before the return
 * @example
 * const { cancel } = sendPlainAttempt(deps, ctx, server, (outcome) => {});
 */
export const sendPlainAttempt = (
  { backends, plainLedger, crashWatch, responseEnds, openGathered, now }: AttemptDeps,
  {
    call,
    crashParts,
    route,
    timeoutAt,
  }: Pick<CallContext, 'call' | 'crashParts' | 'route' | 'timeoutAt'>,
  server: BackendServer,
  onDone: (outcome: AttemptOutcome) => void,
): PlainAttempt => {
  const allocation = plainLedger.addDecode(server.id, 0);
  const runWatch = crashWatch.watchRun(crashParts, server);
  const flow = openGathered();
  const sentAt = now();
  let bufferedChunks: Buffer[] = [];
  let bufferedBytes = 0;
  let head: ResponseHead | undefined;
  let isFinished = false;
  let cancelSend: CancelCall = () => {};

  const finishOnce = (action: () => void): void => {
    if (isFinished) return;
    isFinished = true;
    allocation.release();
    runWatch.stop();
    action();
    bufferedChunks = [];
    flow.close();
  };

  const onFault = (fault: CallFault, isCrashing = false): void =>
    onDone({ kind: 'fault', fault, isCrashing });

  const onBreak = (fault: CallFault): void =>
    finishOnce(() => onFault(fault, fault.kind === 'unknown' && runWatch.recordBreak()));

  const onWhole = (wholeHead: ResponseHead): void =>
    finishOnce(() =>
      onDone({
        kind: 'response',
        response: { head: wholeHead, body: Buffer.concat(bufferedChunks) },
      }),
    );

  cancelSend = backends.send(
    server,
    call,
    { remainingMs: timeoutAt - now(), flow, isRepeatable: route.kind === 'idempotent' },
    {
      start: (receivedHead) => {
        head = receivedHead;
        // A server may answer with an error without having run the request.
        if (!isServerError(head)) runWatch.recordEvent();
      },
      data: (chunk) => {
        bufferedBytes += chunk.length;
        flow.recordRead(chunk.length);
        if (bufferedBytes <= maxBufferedBytes) bufferedChunks.push(chunk);
        else
          finishOnce(() => {
            cancelSend();
            onFault({ kind: 'unknown', reason: 'answer too large' });
          });
      },
      end: () => {
        const endedHead = head;
        if (isFinished) return;
        if (!endedHead) {
          finishOnce(() => onFault({ kind: 'unknown', reason: 'answer without a head' }));
          return;
        }
        if (endedHead.isFramed || !endedHead.hasBody) {
          runWatch.recordEnd();
          onWhole(endedHead);
          return;
        }
        responseEnds.check(
          server,
          sentAt,
          (isWhole, doubt) => {
            if (isWhole) onWhole({ ...endedHead, isFramed: doubt === undefined });
            else onBreak({ kind: 'unknown', reason: endedServerReason });
          },
          timeoutAt,
        );
      },
      fault: onBreak,
    },
  );
  return { cancel: () => finishOnce(cancelSend), isHeldBack: flow.isFull };
};
