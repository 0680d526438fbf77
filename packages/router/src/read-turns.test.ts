import { EventEmitter } from 'node:events';
import { setImmediate as endOfTurn } from 'node:timers/promises';
import test from 'ava';
import { makeReadTurns, type TurnSocket } from './read-turns.js';

class FakeSocket extends EventEmitter {
  bytesRead = 0;

  destroyed = false;

  isStopped = false;

  isPaused = () => this.isStopped;

  pause = () => {
    this.isStopped = true;
    return this;
  };

  resume = () => {
    this.isStopped = false;
    this.emit('resume');
    return this;
  };
}

const openReader = (turns: ReturnType<typeof makeReadTurns>) => {
  const socket = new FakeSocket();
  const reads = turns.add(socket as unknown as TurnSocket);
  /** Reads a piece of 64 KB with as many requests. */
  const read = (count: number): void => {
    socket.bytesRead += 65_536;
    for (let n = 0; n < count; n += 1) reads.recordPiece();
  };
  return { socket, reads, read };
};

// Guards against a crowd whose connections are read again and again before others are.
test('after a read of many requests the others are read first', async (t) => {
  const turns = makeReadTurns();
  const [crowd, ordinary] = [openReader(turns), openReader(turns)];
  crowd.read(1_000);
  t.true(crowd.socket.isStopped);
  t.true(ordinary.socket.isStopped);
  await endOfTurn();
  t.true(crowd.socket.isStopped);
  t.false(ordinary.socket.isStopped);
  ordinary.read(1);
  await endOfTurn();
  t.false(crowd.socket.isStopped);
  t.false(ordinary.socket.isStopped);
});

test('small reads are not interrupted', (t) => {
  const turns = makeReadTurns();
  const [first, second] = [openReader(turns), openReader(turns)];
  for (let n = 0; n < 100; n += 1) first.read(100);
  t.false(first.socket.isStopped);
  t.false(second.socket.isStopped);
});

test('requests of a connection that waits are handled in order, some in each turn', async (t) => {
  const turns = makeReadTurns();
  const crowd = openReader(turns);
  const handled: number[] = [];
  crowd.read(129);
  const requests = Array.from({ length: 100 }, (_, n) => n);
  requests.forEach((n) => crowd.reads.run(() => handled.push(n)));
  t.is(handled.length, 0);
  await endOfTurn();
  await endOfTurn();
  t.true(handled.length > 0 && handled.length < 100);
  await endOfTurn();
  await endOfTurn();
  t.deepEqual(handled, requests);
});

test('a connection is read when neither its turn nor requests sent ahead hold it back', async (t) => {
  const turns = makeReadTurns();
  const { socket, reads, read } = openReader(turns);
  reads.setAhead(true);
  read(129);
  await endOfTurn();
  await endOfTurn();
  t.true(socket.isStopped);
  const holds = reads.countHolds();
  reads.setAhead(false);
  t.false(socket.isStopped);
  t.not(reads.countHolds(), holds);
});

// Guards against reads that the HTTP server starts for a stream that was paused before it could be resumed.
test('a connection that is resumed while it waits is not read', (t) => {
  const turns = makeReadTurns();
  const { socket, read } = openReader(turns);
  let stops = 0;
  socket.on('pause', () => {
    stops += 1;
  });
  read(129);
  socket.emit('resume');
  t.true(socket.isStopped);
  t.is(stops, 1);
});

// Guards against a crowd that keeps the connections that come after it from being read.
test('connections with small reads go on first, then new ones, then those that read much longest ago', async (t) => {
  const turns = makeReadTurns();
  const readers = { heavy: openReader(turns), light: openReader(turns), older: openReader(turns) };
  const newer = openReader(turns);
  const next = openReader(turns);
  readers.heavy.read(129);
  await endOfTurn();
  await endOfTurn();
  readers.light.read(1);
  readers.light.read(1);
  const resumed: string[] = [];
  Object.entries({ ...readers, newer }).forEach(([name, { socket }]) =>
    socket.on('resume', () => resumed.push(name)),
  );
  next.read(129);
  await endOfTurn();
  t.deepEqual(resumed, ['light', 'newer', 'older', 'heavy']);
});

test('no connection is read while all are held, also one that opens or is resumed then', (t) => {
  const turns = makeReadTurns();
  const before = openReader(turns);
  turns.hold();
  const after = openReader(turns);
  before.socket.resume();
  t.true(before.socket.isStopped);
  t.true(after.socket.isStopped);
  turns.release();
  t.false(before.socket.isStopped);
  t.false(after.socket.isStopped);
});

test('a connection that is stopped is not read any more', (t) => {
  const { socket, reads } = openReader(makeReadTurns());
  reads.stop();
  socket.resume();
  reads.setAhead(true);
  reads.setAhead(false);
  t.true(socket.isStopped);
});

// Guards against a crowd whose large heads are all read in one turn of the event loop.
test('after a large head the others are read in the next turn', async (t) => {
  const turns = makeReadTurns();
  const [first, second] = [openReader(turns), openReader(turns)];
  first.socket.bytesRead = 10_000;
  first.reads.recordPiece(400);
  t.true(second.socket.isStopped);
  await endOfTurn();
  t.false(second.socket.isStopped);
});
