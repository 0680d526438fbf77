import type { BackendServer } from '@hemlocksill/types/routing.js';
import type {
  BackendClient,
  CallFault,
  CancelCall,
  InstanceOptions,
} from '@hemlocksill/types/routing-ports.js';
import { makeRoomQuestions } from './room-questions.js';

/** Accounts of the requests to backend servers that name a limit. */
export interface SendAccounts {
  /** Charges a request that is sent; `request` is its id if it is a caller's. */
  readonly recordSend: (server: BackendServer, request?: string) => void;
  readonly hasRoom: (server: BackendServer) => boolean;
  readonly isCold: (server: BackendServer) => boolean;
  /** Whether nothing may be sent to a server, since its data centre is evacuated. */
  readonly isEvacuated: (server: BackendServer) => boolean;
}

const evacuatedReason = 'the data centre is evacuated';

/** Reports a call that was not sent, after the function that should have sent it has returned. */
const reportUnsent = (report: () => void): CancelCall => {
  let isCancelled = false;
  queueMicrotask(() => {
    if (!isCancelled) report();
  });
  return () => {
    isCancelled = true;
  };
};

const unsentFault: CallFault = { kind: 'not-sent', reason: evacuatedReason };

/**
 * Makes a client that charges each request that reaches a backend server, whatever it is for, and sends none to
 * an evacuated data centre: it may be evacuated after a server was chosen.
 *
 * Requests of callers have been given room before they are sent. A report is not sent without room, and a check waits for it. An order and
 * a release are sent in any case: they are rare, and what is not released is lost to others. At a cold server or
 * in an evacuated data centre, what is not released expires instead.
 *
 * @example
 * const backends = makeChargedBackends(makeBackendClient(150, onNotice), accounts);
 */
export const makeChargedBackends = (
  backends: BackendClient,
  { recordSend, hasRoom, isCold, isEvacuated }: SendAccounts,
): BackendClient => {
  const mayRelease = (server: BackendServer): boolean =>
    !isEvacuated(server) && (!isCold(server) || hasRoom(server));
  /** Has the question for the instance charged when it is sent, if it is. */
  const chargeQuestion = (server: BackendServer): InstanceOptions => ({
    onInstanceAsked: () => recordSend(server),
  });

  const checkInstance: BackendClient['checkInstance'] = (server, onDone) => {
    if (isEvacuated(server)) {
      onDone({ kind: 'unknown' });
      return;
    }
    recordSend(server);
    backends.checkInstance(server, onDone);
  };
  const roomQuestions = makeRoomQuestions({ checkInstance, probe: backends.probe, hasRoom });

  return {
    send: (server, call, options, observer) => {
      if (isEvacuated(server)) return reportUnsent(() => observer.fault(unsentFault));
      recordSend(server, call.metadata.id);
      return backends.send(server, call, { ...options, ...chargeQuestion(server) }, observer);
    },
    prefill: (server, call, remainingMs, onDone, options) => {
      if (isEvacuated(server))
        return reportUnsent(() => onDone({ kind: 'fault', fault: unsentFault }));
      recordSend(server, call.metadata.id);
      return backends.prefill(server, call, remainingMs, onDone, {
        ...options,
        ...chargeQuestion(server),
      });
    },
    releasePrefill: (result) => {
      if (!mayRelease(result.server)) return;
      recordSend(result.server);
      backends.releasePrefill(result);
    },
    reserve: (server, tokens, ttlMs, onDone, options) => {
      if (isEvacuated(server)) {
        reportUnsent(() => onDone({ kind: 'fault', reason: evacuatedReason }));
        return;
      }
      recordSend(server);
      backends.reserve(server, tokens, ttlMs, onDone, { ...options, ...chargeQuestion(server) });
    },
    releaseReservation: (server, reservation) => {
      if (!mayRelease(server)) return;
      recordSend(server);
      backends.releaseReservation(server, reservation);
    },
    report: (server, onDone) => {
      if (isEvacuated(server) || !hasRoom(server)) {
        onDone(undefined);
        return;
      }
      recordSend(server);
      backends.report(server, onDone);
    },
    checkInstance: (server, onDone) => {
      if (isEvacuated(server) || hasRoom(server)) checkInstance(server, onDone);
      else roomQuestions.ask(server, onDone);
    },
    order: (server, order, onDone) => {
      if (isEvacuated(server)) {
        reportUnsent(() => onDone('rejected'));
        return;
      }
      recordSend(server);
      backends.order(server, order, onDone);
    },
    closeConnections: backends.closeConnections,
    probe: backends.probe,
  };
};
