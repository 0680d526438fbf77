import test from 'ava';
import fc from 'fast-check';
import {
  decodeGossip,
  encodeFullMessage,
  encodeUpdate,
  type FullMessage,
} from './gossip-message.js';

const message: FullMessage = {
  vm: 'vm-1',
  incarnation: 'a1',
  sequence: 7,
  address: '10.0.0.1:80',
  dataCentre: 'north-a',
  ageMs: 1_200,
  seenRevisions: { config: 3, servers: 9 },
  loads: { 'i-1': [3_000, 1, 200] },
  admitted: { forge: 900 },
  waiting: { llm: 3_000 },
  isShuttingDown: false,
  role: 'watcher',
  isStoreReachable: true,
  quotaLevels: { forge: [10, 20] },
  serverChanges: {
    after: 7,
    servers: [{ key: 's/1', value: 'v', revision: 9 }],
    removed: [['s/2', 8]],
  },
};

test('a whole message and an update come through as they were', (t) => {
  t.deepEqual(decodeGossip(encodeFullMessage(message)), { kind: 'full', message });
  const { vm, address, dataCentre, ageMs, quotaLevels, ...update } = message;
  t.truthy([vm, address, dataCentre, ageMs, quotaLevels]);
  t.deepEqual(decodeGossip(encodeUpdate(update)), { kind: 'update', update });
  const unsure = {
    ...message,
    quotaLevels: undefined,
    serverChanges: undefined,
    isShuttingDown: true,
    role: 'reader' as const,
  };
  t.deepEqual(decodeGossip(encodeFullMessage(unsure)), { kind: 'full', message: unsure });
});

test('bytes that are no message are none, whatever they are', (t) => {
  const whole = encodeFullMessage(message).toString();
  const flipped = fc
    .tuple(fc.nat(whole.length - 1), fc.string({ minLength: 1, maxLength: 3 }))
    .map(([at, text]) => whole.slice(0, at) + text + whole.slice(at + 1));
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json(), flipped), (text) => {
      const got = decodeGossip(Buffer.from(text));
      if (!got) return true;
      const update = got.kind === 'full' ? got.message : got.update;
      return (
        Number.isFinite(update.sequence) && Object.values(update.loads).every((r) => r.length === 3)
      );
    }),
  );
  t.pass();
});
