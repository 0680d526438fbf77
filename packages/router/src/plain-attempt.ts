import { makeBodyBuffer } from '@hemlocksill/sockets/body-buffer.js';
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

/** Content-Length above which a response counts as one without an end. */
const maxToldBytes = 1_024 ** 3;

/** Length of the body that the head of a response tells. */
const readToldBytes = ({ headers, hasBody }: ResponseHead): number =>
  hasBody ? Number(headers.find(([name]) => name === 'content-length')?.[1] ?? 0) : 0;

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
  readonly openGathered: (giveWay: () => void) => GatheredFlow;
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
  { call, crashParts, timeoutAt }: Pick<CallContext, 'call' | 'crashParts' | 'timeoutAt'>,
  server: BackendServer,
  onDone: (outcome: AttemptOutcome) => void,
): PlainAttempt => {
  const allocation = plainLedger.addDecode(server.id, 0);
  const runWatch = crashWatch.watchRun(crashParts, server);
  const sentAt = now();
  const body = makeBodyBuffer();
  let head: ResponseHead | undefined;
  let isFinished = false;
  let cancelSend: CancelCall = () => {};

  const flow = openGathered(() =>
    breakOff({ kind: 'unknown', reason: 'the answers hold too much memory' }),
  );

  const finishOnce = (action: () => void): void => {
    if (isFinished) return;
    isFinished = true;
    allocation.release();
    runWatch.stop();
    action();
    body.clear();
    flow.close();
  };

  const onFault = (fault: CallFault, isCrashing = false): void =>
    onDone({ kind: 'fault', fault, isCrashing });

  /** Ends an attempt whose server has not failed. */
  const breakOff = (fault: CallFault): void =>
    finishOnce(() => {
      cancelSend();
      onFault(fault);
    });

  const onTooLarge = (isMalformed = false): void =>
    breakOff({
      kind: 'unknown',
      reason: 'answer too large',
      ...(isMalformed ? { isMalformed } : {}),
    });

  const onBreak = (fault: CallFault): void =>
    finishOnce(() => onFault(fault, fault.kind === 'unknown' && runWatch.recordBreak()));

  const onWhole = (wholeHead: ResponseHead): void =>
    finishOnce(() =>
      onDone({
        kind: 'response',
        response: { head: wholeHead, body: body.take() },
      }),
    );

  cancelSend = backends.send(
    server,
    call,
    { remainingMs: timeoutAt - now(), flow },
    {
      start: (receivedHead) => {
        const toldBytes = readToldBytes(receivedHead);
        if (toldBytes > maxBufferedBytes) {
          onTooLarge(toldBytes > maxToldBytes);
          return;
        }
        head = receivedHead;
        // A server may answer with an error without having run the request.
        if (!isServerError(head)) runWatch.recordEvent();
      },
      data: (chunk) => {
        if (isFinished) return;
        if (body.getBytes() + chunk.length <= maxBufferedBytes) {
          body.append(chunk);
          flow.recordHeld(body.getHeldBytes());
          return;
        }
        onTooLarge();
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
        responseEnds.check(server, sentAt, (isWhole) => {
          if (isWhole) onWhole(endedHead);
          else onBreak({ kind: 'unknown', reason: endedServerReason });
        });
      },
      fault: onBreak,
    },
  );
  return { cancel: () => finishOnce(cancelSend), isHeldBack: flow.isFull };
};
