import { EventEmitter } from 'node:events';
import test from 'ava';
import { makeIdleConnections, type IdleSocket } from './idle-connections.js';

const makeConnection = () => {
  const state = {
    now: 0,
    limitMs: 4_000,
    bytesRead: 0,
    timeoutMs: 0,
    isPaused: false,
    isClosed: false,
  };
  const reads: (() => void)[] = [];
  const socket = {
    get bytesRead() {
      return state.bytesRead;
    },
    isPaused: () => state.isPaused,
    setTimeout: (timeoutMs: number) => {
      state.timeoutMs = timeoutMs;
      return socket;
    },
    destroy: () => {
      state.isClosed = true;
      return socket;
    },
  } as IdleSocket;
  const idleConnections = makeIdleConnections({
    getLimitMs: () => state.limitMs,
    now: () => state.now,
    log: () => {},
    runAfterReads: (callback) => reads.push(callback),
  });
  const res = new EventEmitter();
  return {
    state,
    startRequest: () => idleConnections.recordRequest(socket, res as never),
    finishResponse: () => res.emit('finish'),
    /** Lets the timer of the connection run out at a time, then bytes may arrive. */
    runTimeout: (now: number, arrivingBytes = 0) => {
      state.now = now;
      state.timeoutMs = 0;
      idleConnections.onTimeout(socket);
      state.bytesRead += arrivingBytes;
      reads.splice(0).forEach((callback) => callback());
    },
  };
};

test('a connection is kept for the limit that its caller was told, though a lower one is in force', (t) => {
  const { state, startRequest, finishResponse, runTimeout } = makeConnection();
  startRequest();
  state.limitMs = 500;
  finishResponse();
  runTimeout(500);
  t.deepEqual([state.timeoutMs, state.isClosed], [4_500, false]);
  runTimeout(5_000);
  t.true(state.isClosed);
});

test('a connection is kept for the current limit, though its caller was told a lower one', (t) => {
  const { state, startRequest, finishResponse, runTimeout } = makeConnection();
  startRequest();
  finishResponse();
  state.limitMs = 9_000;
  runTimeout(4_000);
  t.deepEqual([state.timeoutMs, state.isClosed], [6_000, false]);
  state.limitMs = 1_000;
  runTimeout(10_000);
  t.true(state.isClosed);
});

test('a connection is kept for a request that was sent at its limit', (t) => {
  const { state, startRequest, finishResponse, runTimeout } = makeConnection();
  startRequest();
  finishResponse();
  runTimeout(4_000);
  t.false(state.isClosed);
});

test('a connection is not closed if a request is there to be read', (t) => {
  const { state, startRequest, finishResponse, runTimeout } = makeConnection();
  startRequest();
  finishResponse();
  runTimeout(60_000, 1);
  t.false(state.isClosed);
});

// Guards against the loss of a request on a connection that is not read while others have their turn.
test('a connection that is not read at its limit is closed only once it was read', (t) => {
  const { state, startRequest, finishResponse, runTimeout } = makeConnection();
  startRequest();
  finishResponse();
  state.isPaused = true;
  runTimeout(60_000);
  t.deepEqual([state.timeoutMs, state.isClosed], [1_000, false]);
  state.isPaused = false;
  runTimeout(61_000);
  t.true(state.isClosed);
});
