import test from 'ava';
import { makeLimitQueue, type WaitingCall } from './limit-queue.js';

interface Options {
  readonly id: string;
  readonly workspace?: string;
  readonly priority?: number;
  readonly waitUntil?: number;
}

/** Makes a queue before servers that take one request each 100 ms, the first at 50 ms. */
const makeQueue = () => {
  const events: string[] = [];
  const room = { freeAt: 50 };
  let now = 0;
  const queue = makeLimitQueue(
    (_, nowMs) => ({ waitMs: Math.max(0, room.freeAt - nowMs), requestsPerS: 10 }),
    () => 2,
  );
  const push = ({ id, workspace = 'forge', priority = 1, waitUntil = 1_000 }: Options) => {
    const call: WaitingCall = {
      id,
      service: 'desk',
      workspace,
      priority,
      arrivedAt: now,
      waitUntil,
      trySend: () => {
        if (room.freeAt > now) return false;
        room.freeAt = now + 100;
        events.push(`send ${id}`);
        return true;
      },
      refuse: (ms) => events.push(`refuse ${id} for ${Math.round(ms)}`),
    };
    return queue.tryPush(call, now);
  };
  const processAt = (at: number): void => {
    now = at;
    queue.process(at);
  };
  return { queue, events, push, processAt };
};

test('a request waits for room that comes in time', (t) => {
  const { queue, events, push, processAt } = makeQueue();
  t.is(push({ id: 'r1' }), undefined);
  t.is(queue.getNextDelayMs(0), 50);
  processAt(40);
  t.deepEqual(events, []);
  processAt(50);
  t.deepEqual(events, ['send r1']);
  t.false(queue.hasWaiting('desk'));
  t.is(queue.getNextDelayMs(50), undefined);
});

test('a request for which there will be no room in time is refused at once', (t) => {
  const { push } = makeQueue();
  t.is(push({ id: 'r1', waitUntil: 60 }), undefined);
  const retryAfterMs = push({ id: 'r2', waitUntil: 120 });
  t.true(retryAfterMs !== undefined && retryAfterMs >= 50);
});

test('refused callers are told to return one after the other', (t) => {
  const { push } = makeQueue();
  const delays = ['r1', 'r2', 'r3'].map((id) => push({ id, waitUntil: 10 }));
  t.deepEqual(delays, [100, 300, 500]);
});

test('urgent requests come first, then workspaces that were sent least', (t) => {
  const { events, push, processAt } = makeQueue();
  push({ id: 'a1', workspace: 'a' });
  processAt(50);
  push({ id: 'a2', workspace: 'a' });
  push({ id: 'a3', workspace: 'a' });
  push({ id: 'b1', workspace: 'b' });
  push({ id: 'u1', workspace: 'a', priority: 0 });
  [150, 250, 350, 450].forEach(processAt);
  t.deepEqual(events, ['send a1', 'send u1', 'send b1', 'send a2', 'send a3']);
});

test('a request that has waited until its time is refused', (t) => {
  const { events, push, processAt } = makeQueue();
  push({ id: 'r1', priority: 0 });
  push({ id: 'r2', waitUntil: 160 });
  push({ id: 'r3', priority: 0 });
  processAt(50);
  processAt(170);
  t.deepEqual(events, ['send r1', 'refuse r2 for 100', 'send r3']);
});
