import test from 'ava';
import type {
  BackendClient,
  ForwardedCall,
  InstanceOptions,
} from '@hemlocksill/types/routing-ports.js';
import { makeServer } from '@hemlocksill/routing/fixtures.js';
import { makeChargedBackends } from './charged-backends.js';

const server = makeServer({ id: 'i-1' });

const call = { metadata: { id: 'r1' } } as ForwardedCall;

/** Makes a client that records the names of the calls that reach a server, and those that are charged. */
const makeClient = (state: { isCold?: boolean; hasRoom?: boolean; isEvacuated?: boolean }) => {
  const sent: string[] = [];
  let charged = 0;
  const record = (name: string) => (): (() => void) => {
    sent.push(name);
    return () => {};
  };
  const backends: BackendClient = {
    send: record('send'),
    prefill: record('prefill'),
    releasePrefill: record('releasePrefill'),
    reserve: record('reserve'),
    releaseReservation: record('releaseReservation'),
    report: record('report'),
    checkInstance: record('checkInstance'),
    order: record('order'),
    closeConnections: record('closeConnections'),
    probe: record('probe'),
  };
  const client = makeChargedBackends(backends, {
    recordSend: () => {
      charged += 1;
    },
    hasRoom: () => state.hasRoom ?? true,
    isCold: () => state.isCold ?? false,
    isEvacuated: () => state.isEvacuated ?? false,
  });
  return { client, sent, getCharged: () => charged };
};

const sendAll = (client: BackendClient, outcomes: unknown[]): void => {
  const onDone = (outcome: unknown): void => {
    outcomes.push(outcome);
  };
  client.send(
    server,
    call,
    { remainingMs: 100 },
    { start: () => {}, data: () => {}, end: () => {}, fault: onDone },
  );
  client.prefill(server, call, 100, onDone);
  client.releasePrefill({ server, handle: 'h' });
  client.reserve(server, 10, 100, onDone);
  client.releaseReservation(server, 'hold');
  client.report(server, onDone);
  client.order(server, { stage: 'decode', holder: 'a', fence: 1, expectedOrders: 0 }, onDone);
};

test('whatever reaches a server is charged', (t) => {
  const { client, sent, getCharged } = makeClient({});
  sendAll(client, []);
  t.is(sent.length, 7);
  t.is(getCharged(), 7);
});

test('the question for the instance that a call wants is charged when it is sent', (t) => {
  const asked: (() => void)[] = [];
  const charged: (string | undefined)[] = [];
  const take = ({ onInstanceAsked }: InstanceOptions = {}): (() => void) => {
    if (onInstanceAsked) asked.push(onInstanceAsked);
    return () => {};
  };
  const { client: others } = makeClient({});
  const client = makeChargedBackends(
    {
      ...others,
      send: (_, __, options) => take(options),
      prefill: (_, __, ___, ____, options) => take(options),
      reserve: (_, __, ___, ____, options) => take(options),
    },
    {
      recordSend: (_, request) => charged.push(request),
      hasRoom: () => true,
      isCold: () => false,
      isEvacuated: () => false,
    },
  );
  sendAll(client, []);
  const before = charged.length;
  t.is(asked.length, 3);
  asked.forEach((ask) => ask());
  t.deepEqual(charged.slice(before), [undefined, undefined, undefined]);
});

test('nothing reaches an evacuated data centre, and each caller is told, after its call has returned', async (t) => {
  const { client, sent, getCharged } = makeClient({ isEvacuated: true });
  const outcomes: unknown[] = [];
  sendAll(client, outcomes);
  // A report that can't be had is told at once.
  t.deepEqual(outcomes, [undefined]);
  await Promise.resolve();
  const fault = { kind: 'not-sent', reason: 'the data centre is evacuated' };
  t.deepEqual(outcomes.slice(1), [
    fault,
    { kind: 'fault', fault },
    { kind: 'fault', reason: 'the data centre is evacuated' },
    'rejected',
  ]);
  t.deepEqual(sent, []);
  t.is(getCharged(), 0);
});

test('a call to an evacuated data centre that is cancelled reports nothing', async (t) => {
  const { client } = makeClient({ isEvacuated: true });
  const cancel = client.prefill(server, call, 100, () => t.fail());
  cancel();
  await Promise.resolve();
  t.pass();
});

test('what a cold server without room holds for a request expires instead of being released', (t) => {
  const { client, sent } = makeClient({ isCold: true, hasRoom: false });
  client.releasePrefill({ server, handle: 'h' });
  client.releaseReservation(server, 'hold');
  t.deepEqual(sent, []);
  const limited = makeClient({ isCold: false, hasRoom: false });
  limited.client.releasePrefill({ server, handle: 'h' });
  t.deepEqual(limited.sent, ['releasePrefill']);
});
