import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { BackendClient, InstanceResult } from '@hemlocksill/types/routing-ports.js';

/** Time for which a question waits for room. */
const roomWaitMs = 1_000;

/** Interval at which a question that waits looks for room. */
const roomCheckMs = 50;

/** Asks servers without room which instance they are. */
export interface RoomQuestions {
  /** Asks once there is room, together with the others that wait; `unknown` if there is none in time. */
  readonly ask: (server: BackendServer, onDone: (result: InstanceResult) => void) => void;
}

/** Dependencies of the questions. */
export interface RoomQuestionDeps {
  readonly checkInstance: BackendClient['checkInstance'];
  readonly probe: BackendClient['probe'];
  readonly hasRoom: (server: BackendServer) => boolean;
}

/** Those that wait for the answer of one server. */
interface Waiting {
  readonly callbacks: ((result: InstanceResult) => void)[];
  /** On the clock of `performance.now()`. */
  readonly giveUpAt: number;
  isProbing: boolean;
  /** Whether somebody has come since the probe in progress began. */
  isProbeOld: boolean;
}

/**
 * Makes the questions of a VM. A server at its limit gets one request for all that wait. Whether its address refuses
 * connections, since it has ended, is found out at once: a connection without a request does not count for the limit.
 *
 * @example
 * makeRoomQuestions({ checkInstance, probe, hasRoom }).ask(server, (result) => {});
 */
export const makeRoomQuestions = ({
  checkInstance,
  probe,
  hasRoom,
}: RoomQuestionDeps): RoomQuestions => {
  const waitingByServer = new Map<string, Waiting>();

  /** Takes those that wait off the list, to be answered once; nobody if that has happened. */
  const take = (key: string, waiting: Waiting): Waiting['callbacks'] => {
    if (waitingByServer.get(key) !== waiting) return [];
    waitingByServer.delete(key);
    return waiting.callbacks;
  };

  const probeNext = (server: BackendServer, key: string, waiting: Waiting): void => {
    Object.assign(waiting, { isProbing: true, isProbeOld: false });
    probe(server, (isRefused) => {
      Object.assign(waiting, { isProbing: false });
      if (isRefused) take(key, waiting).forEach((callback) => callback({ kind: 'ended' }));
      else if (waiting.isProbeOld && waitingByServer.get(key) === waiting)
        probeNext(server, key, waiting);
    });
  };

  const waitForRoom = (server: BackendServer, key: string, waiting: Waiting): void => {
    if (waitingByServer.get(key) !== waiting) return;
    if (hasRoom(server)) {
      const callbacks = take(key, waiting);
      checkInstance(server, (result) => callbacks.forEach((callback) => callback(result)));
    } else if (performance.now() >= waiting.giveUpAt)
      take(key, waiting).forEach((callback) => callback({ kind: 'unknown' }));
    else setTimeout(waitForRoom, roomCheckMs, server, key, waiting);
  };

  return {
    ask: (server, onDone) => {
      const key = `${server.id}@${server.startedAt}`;
      const known = waitingByServer.get(key);
      if (known) {
        known.callbacks.push(onDone);
        if (known.isProbing) known.isProbeOld = true;
        else probeNext(server, key, known);
        return;
      }
      const waiting: Waiting = {
        callbacks: [onDone],
        giveUpAt: performance.now() + roomWaitMs,
        isProbing: false,
        isProbeOld: false,
      };
      waitingByServer.set(key, waiting);
      probeNext(server, key, waiting);
      waitForRoom(server, key, waiting);
    },
  };
};
