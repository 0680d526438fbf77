import test from 'ava';
import type { StoreEntry } from '@hemlocksill/types/ports.js';
import { decodeMessage, type PeerMessage, type StoreRole } from './gossip-message.js';
import { sleep } from './sleep.js';
import { makePeerOutbox } from './peer-outbox.js';

/** Longer than the time for which changes are collected into one message. */
const waitForBatchMs = 20;

const addresses = Array.from({ length: 40 }, (_, n) => `10.0.${n % 4}.${n}:80`);

/** An outbox of a VM in data centre 0 of four, with 40 other VMs. */
const makeOutbox = (role: StoreRole = 'watcher') => {
  const posted: { address: string; gossip: PeerMessage }[] = [];
  const entries: StoreEntry[] = [{ key: 's/1', value: 'a', revision: 5 }];
  const admitted: Record<string, number> = { forge: 10 };
  const outbox = makePeerOutbox({
    vm: 'vm-0',
    dataCentre: '0',
    incarnation: 'i0',
    address: '10.9.9.9:80',
    view: {
      getSeenRevisions: () => ({ config: 1, servers: Math.max(...entries.map((e) => e.revision)) }),
      getChangesSince: ({ servers }) => ({
        config: undefined,
        servers: entries.filter((e) => e.revision > servers),
        removed: [],
      }),
      isStoreReachable: () => true,
    },
    getRole: () => role,
    getHeartbeatMs: () => 60_000,
    countVms: () => 41,
    getAddresses: () => addresses,
    getAddressesIn: (dataCentres) =>
      addresses.filter((address) => dataCentres.has(address.split('.')[2] ?? '')),
    sendDatagram: (bytes, address) => {
      const gossip = decodeMessage(bytes);
      if (gossip) posted.push({ address, gossip });
    },
    describeLoad: () => ({ loads: {}, admitted: { ...admitted }, waiting: {} }),
    describeQuotaLevels: () => undefined,
    now: () => performance.now(),
  });
  const takePosted = async (): Promise<typeof posted> => {
    await sleep(waitForBatchMs);
    return posted.splice(0);
  };
  return { outbox, takePosted, entries, admitted };
};

test('the first message goes to all VMs, a load change to two data centres, a greeting to one VM', async (t) => {
  const { outbox, takePosted } = makeOutbox();
  outbox.sendFullToAll();
  t.is((await takePosted()).filter(({ gossip }) => gossip.kind === 'full').length, 40);
  outbox.notifyChange({ kind: 'load', dataCentre: '2' });
  const sent = await takePosted();
  t.deepEqual([...new Set(sent.map(({ address }) => address.split('.')[2]))].sort(), ['0', '2']);
  t.true(sent.every(({ gossip }) => gossip.kind === 'update'));
  outbox.sendFullTo(addresses[3] ?? '');
  const sentToNew = await takePosted();
  t.deepEqual(
    sentToNew.map(({ address, gossip }) => [address, gossip.kind]),
    [[addresses[3], 'full']],
  );
});

test('forty new peers get one full message each, not one per discovery', async (t) => {
  const { outbox, takePosted } = makeOutbox();
  outbox.sendFullToAll();
  await takePosted();
  addresses.forEach((address) => outbox.sendFullTo(address));
  t.is((await takePosted()).length, 40);
});

test('changed totals are repeated in updates until all VMs have received them', async (t) => {
  const { outbox, takePosted, admitted } = makeOutbox();
  outbox.sendFullToAll();
  await takePosted();
  admitted.forge = 30;
  const readTotals = ({ gossip }: { gossip: PeerMessage }): unknown =>
    gossip.kind === 'update' ? gossip.update.admitted : undefined;
  for (const expected of [{ forge: 30 }, { forge: 30 }]) {
    outbox.notifyChange({ kind: 'load', dataCentre: '0' });
    t.deepEqual((await takePosted()).map(readTotals)[0], expected);
  }
  outbox.notifyChange({ kind: 'scarce-rate' });
  t.is((await takePosted()).length, 40);
  outbox.notifyChange({ kind: 'load', dataCentre: '0' });
  t.deepEqual((await takePosted()).map(readTotals)[0], {});
});

test('a watcher sends small server changes with the revision they start from', async (t) => {
  const { outbox, takePosted, entries } = makeOutbox();
  outbox.sendFullToAll();
  await takePosted();
  entries.push({ key: 's/2', value: 'b', revision: 7 });
  outbox.notifyChange({ kind: 'view', isWatcher: true });
  const [firstPosted] = await takePosted();
  const serverChanges =
    firstPosted?.gossip.kind === 'update' ? firstPosted.gossip.update.serverChanges : undefined;
  t.deepEqual(serverChanges, {
    after: 5,
    servers: [{ key: 's/2', value: 'b', revision: 7 }],
    removed: [],
  });
  for (let revision = 8; revision < 12; revision += 1)
    entries.push({ key: `s/${revision}`, value: 'c', revision });
  outbox.notifyChange({ kind: 'view', isWatcher: true });
  const [withManyChanges] = await takePosted();
  t.is(
    withManyChanges?.gossip.kind === 'update'
      ? withManyChanges.gossip.update.serverChanges
      : 'none',
    undefined,
  );
});

test('a reader sends its server revision but no server changes', async (t) => {
  const { outbox, takePosted, entries } = makeOutbox('reader');
  outbox.sendFullToAll();
  await takePosted();
  entries.push({ key: 's/2', value: 'b', revision: 7 });
  outbox.notifyChange({ kind: 'view', isWatcher: false });
  const sent = await takePosted();
  t.is(sent.length, 10);
  t.true(
    sent.every(
      ({ gossip }) => gossip.kind === 'update' && gossip.update.seenRevisions.servers === 7,
    ),
  );
});

test('the last message announces the shutdown, and nothing is sent after it', async (t) => {
  const { outbox, takePosted } = makeOutbox();
  outbox.notifyChange({ kind: 'scarce-rate' });
  outbox.sendShutdown();
  outbox.sendFullToAll();
  const sent = await takePosted();
  t.is(sent.length, 40);
  t.true(sent.every(({ gossip }) => gossip.kind === 'full' && gossip.message.isShuttingDown));
});
