import test from 'ava';
import type { StoreEntry } from '@hemlocksill/types/ports.js';
import { decodeGossip, type Gossip, type ViewRole } from './gossip-message.js';
import { pause } from './sleep.js';
import { makePeerOutbox } from './peer-outbox.js';

/** Time in which a gathered message has gone out. */
const gatheredMs = 20;

const addresses = Array.from({ length: 40 }, (_, n) => `10.0.${n % 4}.${n}:80`);

/** An outbox of a VM in data centre 0 of four, with 40 other VMs. */
const makeOutbox = (role: ViewRole = 'watcher') => {
  const posted: { address: string; gossip: Gossip }[] = [];
  const entries: StoreEntry[] = [{ key: 's/1', value: 'a', revision: 5 }];
  const admitted: Record<string, number> = { forge: 10 };
  const outbox = makePeerOutbox({
    vm: 'vm-0',
    dataCentre: '0',
    incarnation: 'i0',
    address: '10.9.9.9:80',
    view: {
      seen: () => ({ config: 1, servers: Math.max(...entries.map((e) => e.revision)) }),
      rawSince: ({ servers }) => ({
        config: undefined,
        servers: entries.filter((e) => e.revision > servers),
        removed: [],
      }),
      isStoreReachable: () => true,
    },
    role: () => role,
    periodMs: () => 60_000,
    countVms: () => 41,
    targets: () => addresses,
    targetsIn: (dataCentres) => addresses.filter((one) => dataCentres.has(one.split('.')[2] ?? '')),
    post: (bytes, address) => {
      const gossip = decodeGossip(bytes);
      if (gossip) posted.push({ address, gossip });
    },
    describe: () => ({ loads: {}, admitted: { ...admitted }, waiting: {} }),
    describeLevels: () => undefined,
    now: () => performance.now(),
  });
  const take = async (): Promise<typeof posted> => {
    await pause(gatheredMs);
    return posted.splice(0);
  };
  return { outbox, take, entries, admitted };
};

test('the first message goes to all, a load only where it concerns, a greeting to one', async (t) => {
  const { outbox, take } = makeOutbox();
  outbox.greetAll();
  t.is((await take()).filter(({ gossip }) => gossip.kind === 'whole').length, 40);
  outbox.noteChange({ kind: 'load', dataCentre: '2' });
  const told = await take();
  t.deepEqual([...new Set(told.map(({ address }) => address.split('.')[2]))].sort(), ['0', '2']);
  t.true(told.every(({ gossip }) => gossip.kind === 'update'));
  outbox.greet(addresses[3] ?? '');
  const greeted = await take();
  t.deepEqual(
    greeted.map(({ address, gossip }) => [address, gossip.kind]),
    [[addresses[3], 'whole']],
  );
});

test('a VM that meets forty others tells each once, not all of them each time', async (t) => {
  const { outbox, take } = makeOutbox();
  outbox.greetAll();
  await take();
  addresses.forEach((address) => outbox.greet(address));
  t.is((await take()).length, 40);
});

test('totals are told to a data centre until all VMs have heard them', async (t) => {
  const { outbox, take, admitted } = makeOutbox();
  outbox.greetAll();
  await take();
  admitted.forge = 30;
  const readTotals = ({ gossip }: { gossip: Gossip }): unknown =>
    gossip.kind === 'update' ? gossip.update.admitted : undefined;
  for (const expected of [{ forge: 30 }, { forge: 30 }]) {
    outbox.noteChange({ kind: 'load', dataCentre: '0' });
    t.deepEqual((await take()).map(readTotals)[0], expected);
  }
  outbox.noteChange({ kind: 'scarce-rate' });
  t.is((await take()).length, 40);
  outbox.noteChange({ kind: 'load', dataCentre: '0' });
  t.deepEqual((await take()).map(readTotals)[0], {});
});

test('a watcher tells small changes of the list themselves, with the revision before them', async (t) => {
  const { outbox, take, entries } = makeOutbox();
  outbox.greetAll();
  await take();
  entries.push({ key: 's/2', value: 'b', revision: 7 });
  outbox.noteChange({ kind: 'view', isWatcher: true });
  const [first] = await take();
  const news = first?.gossip.kind === 'update' ? first.gossip.update.news : undefined;
  t.deepEqual(news, {
    after: 5,
    servers: [{ key: 's/2', value: 'b', revision: 7 }],
    removed: [],
  });
  for (let revision = 8; revision < 12; revision += 1)
    entries.push({ key: `s/${revision}`, value: 'c', revision });
  outbox.noteChange({ kind: 'view', isWatcher: true });
  const [many] = await take();
  t.is(many?.gossip.kind === 'update' ? many.gossip.update.news : 'none', undefined);
});

test('a reader tells no changes of the list, only how far it knows it', async (t) => {
  const { outbox, take, entries } = makeOutbox('reader');
  outbox.greetAll();
  await take();
  entries.push({ key: 's/2', value: 'b', revision: 7 });
  outbox.noteChange({ kind: 'view', isWatcher: false });
  const told = await take();
  t.is(told.length, 10);
  t.true(told.every(({ gossip }) => gossip.kind === 'update' && gossip.update.seen.servers === 7));
});

test('the last message says that the process ends, and nothing follows it', async (t) => {
  const { outbox, take } = makeOutbox();
  outbox.noteChange({ kind: 'scarce-rate' });
  outbox.sendLast();
  outbox.greetAll();
  const told = await take();
  t.is(told.length, 40);
  t.true(told.every(({ gossip }) => gossip.kind === 'whole' && gossip.message.isLeaving));
});
