import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { chooseHolders } from '@hemlocksill/routing/choose-holders.js';
import { makeServer } from '@hemlocksill/routing/fixtures.js';
import type { StreamOrigin } from '@hemlocksill/routing/stream-origins.js';
import { decodeMessage } from './gossip-message.js';
import { makeOriginController, type OriginController } from './origin-controller.js';
import {
  decodeOriginMessage,
  encodeOriginMessage,
  originTag,
  type OriginAnswer,
  type OriginMessage,
} from './origin-message.js';
import { makeRouterMetrics } from './router-metrics.js';
import { sleep } from './sleep.js';

const origin = { service: 'llm', softwareVersion: 'v1' };

const engine = (softwareVersion: string) =>
  makeServer({ id: `i-${softwareVersion}`, service: 'llm', softwareVersion });

interface FleetOptions {
  readonly isFirstStart?: boolean;
  /** Decides which datagrams are lost. */
  readonly isLost?: (from: number, to: number) => boolean;
  readonly isViewCurrent?: boolean;
  /** Whether the VMs have not heard each other for some time. */
  readonly isUnresponsive?: boolean;
  /** Whether the VMs reach the store to read the list of servers. */
  readonly canReadServers?: boolean;
}

/** Makes VMs that exchange datagrams in memory. */
const makeFleet = (
  count: number,
  {
    isFirstStart = false,
    isLost = () => false,
    isViewCurrent = true,
    isUnresponsive = false,
    canReadServers = false,
  }: FleetOptions = {},
) => {
  const gone = new Set<number>();
  let datagrams = 0;
  let aheadMs = 0;
  const now = (): number => performance.now() + aheadMs;
  const getAddress = (vm: number): string => `10.0.0.${vm}:7000`;
  const vms: OriginController[] = Array.from({ length: count }, (_, from) =>
    makeOriginController({
      listPeers: () =>
        vms.flatMap((__, to) =>
          to === from ? [] : [{ vm: `vm-${to}`, address: getAddress(to), isUnresponsive }],
        ),
      sendDatagram: (bytes, address) => {
        datagrams += 1;
        const to = vms.findIndex((__, vm) => getAddress(vm) === address);
        if (gone.has(to) || gone.has(from) || isLost(from, to)) return;
        const received = decodeMessage(bytes);
        if (received?.kind !== 'origin') return;
        setImmediate(() => vms[to]?.onMessage(received.message, getAddress(from)));
      },
      isViewCurrent: () => isViewCurrent,
      readServers: () => Promise.resolve(canReadServers),
      isFirstStart,
      records: undefined,
      log: () => {},
      metrics: makeRouterMetrics(),
      now,
    }),
  );
  const find = (vm: number, request: string | undefined): Promise<StreamOrigin | undefined> =>
    new Promise((resolve) => {
      vms[vm]?.find(request, 'llm', now() + 5_000, resolve);
    });
  /** Lets a time pass, with a tick of each VM at its end. */
  const advance = (ms: number): void => {
    aheadMs += ms;
    vms.forEach((vm) => vm.tick(now()));
  };
  return { vms, gone, find, advance, countDatagrams: () => datagrams };
};

/** Lets the datagrams that were sent arrive. */
const settle = (): Promise<void> => sleep(5);

const beginStreams = async (vms: readonly OriginController[], count: number): Promise<string[]> => {
  const requests = Array.from({ length: count }, (_, n) => `r${n}`);
  requests.forEach((id) => vms[0]?.recordBegin(id, origin, performance.now() + 10_000));
  await settle();
  return requests;
};

const checkKnown = async (
  t: ExecutionContext,
  fleet: ReturnType<typeof makeFleet>,
  vm: number,
  requests: readonly string[],
): Promise<void> => {
  const found = await Promise.all(requests.map((request) => fleet.find(vm, request)));
  found.forEach((result) => t.is(result?.softwareVersion, 'v1'));
};

test('a stream is known at every VM after the one that began it and two others are gone', async (t) => {
  const fleet = makeFleet(30);
  const requests = await beginStreams(fleet.vms, 40);
  t.true(fleet.countDatagrams() <= 40 * 3);
  [0, 5, 6].forEach((vm) => fleet.gone.add(vm));
  await checkKnown(t, fleet, 12, requests);
});

test('lost messages are made up for', async (t) => {
  let n = 0;
  const fleet = makeFleet(8, {
    isLost: () => {
      n += 1;
      return n % 4 === 0;
    },
  });
  const requests = await beginStreams(fleet.vms, 20);
  fleet.gone.add(0);
  await checkKnown(t, fleet, 3, requests);
});

test('a stream that nobody knows is not found, soon', async (t) => {
  const fleet = makeFleet(8);
  fleet.vms.forEach((vm) => vm.updateServers([engine('v1'), engine('v2')]));
  const startedAt = performance.now();
  t.is(await fleet.find(1, 'r1'), undefined);
  t.is(await fleet.find(1, undefined), undefined);
  for (let vm = 0; vm < 8; vm += 1) if (vm !== 1) fleet.gone.add(vm);
  t.is(await fleet.find(1, 'r1'), undefined);
  t.true(performance.now() - startedAt < 2_000);
});

test('while a service has only one version, a stream that nobody remembers began at it', async (t) => {
  const fleet = makeFleet(8, { isFirstStart: true });
  fleet.vms.forEach((vm) => vm.updateServers([engine('v1')]));
  t.deepEqual(await fleet.find(1, 'r1'), origin);
  t.deepEqual(await fleet.find(1, undefined), origin);
  fleet.vms.forEach((vm) => vm.updateServers([engine('v1'), engine('v2')]));
  t.is(await fleet.find(1, 'r1'), undefined);
});

// Serial, since other tests of the file hold up the datagrams.
test.serial('a question costs a message to six VMs and their answers at most', async (t) => {
  const fleet = makeFleet(30, { isFirstStart: true });
  fleet.vms.forEach((vm) => vm.updateServers([engine('v1')]));
  t.deepEqual(await fleet.find(1, 'r1'), origin);
  t.true(fleet.countDatagrams() <= 12, `${fleet.countDatagrams()} datagrams`);
});

test.serial(
  'a stream whose VM was killed is not held up by the silence of that VM, while there is one version',
  async (t) => {
    const fleet = makeFleet(8, { isFirstStart: true });
    fleet.vms.forEach((vm) => vm.updateServers([engine('v1')]));
    const requests = Array.from({ length: 40 }, (_, n) => `unheard-of-${n}`);
    await fleet.find(1, 'warm-up');
    fleet.gone.add(0);
    const startedAt = performance.now();
    await checkKnown(t, fleet, 1, requests);
    const tookMs = performance.now() - startedAt;
    // The wait for an answer that doesn't come is 200 ms.
    t.true(tookMs < 150, `${tookMs} ms`);
  },
);

// Guards against a stream of two versions: the VM that it is taken up at hears of the second one late.
test('a stream of a version that only some VMs know is taken up at that version everywhere', async (t) => {
  const fleet = makeFleet(8, { isFirstStart: true });
  fleet.vms.forEach((vm, n) => vm.updateServers([engine('v1'), ...(n > 0 ? [] : [engine('v2')])]));
  const newer = { service: 'llm', softwareVersion: 'v2' };
  const requests = Array.from({ length: 20 }, (_, n) => `r${n}`);
  requests.forEach((id) => fleet.vms[0]?.recordBegin(id, newer, performance.now() + 10_000));
  await settle();
  fleet.gone.add(0);
  for (let vm = 1; vm < 8; vm += 1) {
    const found = await Promise.all(requests.map((request) => fleet.find(vm, request)));
    found.forEach((result) => t.is(result?.softwareVersion, 'v2'));
  }
});

test('a VM that gets no answer does not rely on what it knew, also while its view counts as current', async (t) => {
  const fleet = makeFleet(8, { isFirstStart: true });
  fleet.vms.forEach((vm) => vm.updateServers([engine('v1')]));
  for (let vm = 0; vm < 8; vm += 1) if (vm !== 1) fleet.gone.add(vm);
  t.is(await fleet.find(1, 'r1'), undefined);
});

// Guards against a stream of two versions: the only version that is left is a later one.
test.serial(
  'a stream whose caller waits for two minutes is remembered for as long, its version or not',
  async (t) => {
    const fleet = makeFleet(8, { isFirstStart: true });
    fleet.vms.forEach((vm) => vm.updateServers([engine('v1')]));
    const requests = Array.from({ length: 20 }, (_, n) => `r${n}`);
    requests.forEach((id) => fleet.vms[0]?.recordBegin(id, origin, performance.now() + 122_000));
    await settle();
    fleet.gone.add(0);
    fleet.vms.forEach((vm) => vm.updateServers([engine('v2')]));
    fleet.advance(75_000);
    t.true(fleet.vms[1]?.hasOnlyVersion('llm'));
    for (let vm = 1; vm < 8; vm += 1) await checkKnown(t, fleet, vm, requests);
  },
);

// Guards against a stream of two versions: VMs that were told of it restarted, and have forgotten it.
test('VMs that have just started are not enough for the only version that is known', async (t) => {
  const asked: string[] = [];
  const controller = makeOriginController({
    listPeers: () =>
      Array.from({ length: 8 }, (_, n) => ({ vm: `vm-${n}`, address: `10.0.0.${n}:7000` })),
    sendDatagram: (_, address) => asked.push(address),
    isViewCurrent: () => true,
    readServers: () => Promise.resolve(false),
    isFirstStart: true,
    records: undefined,
    log: () => {},
    metrics: makeRouterMetrics(),
    now: () => performance.now(),
  });
  controller.updateServers([engine('v1')]);
  const found = new Promise<StreamOrigin | undefined>((resolve) => {
    controller.find('r1', 'llm', performance.now() + 5_000, resolve);
  });
  const answer = (address: string | undefined, known: OriginAnswer): void =>
    controller.onMessage({ kind: 'answered', question: 1, answer: known }, address ?? '');
  asked.slice(0, 3).forEach((address) => answer(address, { kind: 'unknown' }));
  answer(asked[3], { kind: 'begun', service: 'llm', softwareVersion: 'v2' });
  t.is((await found)?.softwareVersion, 'v2');
});

test('a VM that gets no answer relies on what it knows once it has read the list of servers anew', async (t) => {
  const fleet = makeFleet(8, { isFirstStart: true, canReadServers: true, isViewCurrent: false });
  fleet.vms.forEach((vm) => vm.updateServers([engine('v1')]));
  for (let vm = 0; vm < 8; vm += 1) if (vm !== 1) fleet.gone.add(vm);
  t.deepEqual(await fleet.find(1, 'r1'), origin);
  fleet.vms[1]?.updateServers([engine('v1'), engine('v2')]);
  t.is(await fleet.find(1, 'r1'), undefined);
});

// Guards against a stream of two versions: that of an instance whose entry still shows the one before.
test('a stream of a version that is not listed is not taken for one of the only version', async (t) => {
  const fleet = makeFleet(12, { isFirstStart: true });
  fleet.vms.forEach((vm) => vm.updateServers([engine('v1')]));
  const unlisted = { service: 'llm', softwareVersion: 'unknown (i-v1 7)' };
  const others = fleet.vms.slice(1).map((_, n) => `vm-${n + 1}`);
  const holders = chooseHolders('r1', others, 3);
  ['r0', 'r1'].forEach((id) => fleet.vms[0]?.recordBegin(id, unlisted, performance.now() + 10_000));
  await settle();
  fleet.gone.add(0);
  holders.forEach((vm) => fleet.gone.add(Number(vm.slice('vm-'.length))));
  const asked = fleet.vms.findIndex((_, vm) => !fleet.gone.has(vm));
  t.is(await fleet.find(asked, 'r1'), undefined);
});

test('a VM without others relies on what it knows', async (t) => {
  const fleet = makeFleet(1, { isFirstStart: true });
  fleet.vms.forEach((vm) => vm.updateServers([engine('v1')]));
  t.deepEqual(await fleet.find(0, 'r1'), origin);
});

test('a VM whose others are all known to be gone relies on what it knows', async (t) => {
  const fleet = makeFleet(2, { isFirstStart: true, isUnresponsive: true });
  fleet.vms.forEach((vm) => vm.updateServers([engine('v1')]));
  fleet.gone.add(1);
  t.deepEqual(await fleet.find(0, 'r1'), origin);
});

test('a VM that has just started learns from its peers that there is only one version', async (t) => {
  const old = makeFleet(2, { isFirstStart: true });
  const young = makeFleet(2);
  [...old.vms, ...young.vms].forEach((vm) => vm.updateServers([engine('v1')]));
  t.is(await young.find(0, 'r1'), undefined);
  const answers: OriginMessage[] = [];
  const [asked] = old.vms;
  const mixed = makeOriginController({
    listPeers: () => [{ vm: 'vm-1', address: '10.0.0.1:7000' }],
    sendDatagram: (bytes) => {
      const received = decodeMessage(bytes);
      if (received?.kind === 'origin') answers.push(received.message);
    },
    isViewCurrent: () => true,
    readServers: () => Promise.resolve(false),
    isFirstStart: false,
    records: undefined,
    log: () => {},
    metrics: makeRouterMetrics(),
    now: () => performance.now(),
  });
  mixed.updateServers([engine('v1')]);
  const found = new Promise<StreamOrigin | undefined>((resolve) => {
    mixed.find('r1', 'llm', performance.now() + 5_000, resolve);
  });
  t.is(answers[0]?.kind, 'asked');
  t.truthy(asked?.hasOnlyVersion('llm'));
  const question = answers[0]?.kind === 'asked' ? answers[0].question : 0;
  mixed.onMessage(
    { kind: 'answered', question, answer: { kind: 'only', ...origin } },
    '10.0.0.1:7000',
  );
  t.deepEqual(await found, origin);
});

test('a VM that is cut off does not rely on what it knew', async (t) => {
  const fleet = makeFleet(4, { isFirstStart: true, isViewCurrent: false });
  fleet.vms.forEach((vm) => vm.updateServers([engine('v1')]));
  [0, 2, 3].forEach((vm) => fleet.gone.add(vm));
  t.is(await fleet.find(1, 'r1'), undefined);
});

test('messages about origins are read as they were sent, and nothing that is not well formed', (t) => {
  const messages: OriginMessage[] = [
    { kind: 'told', request: 'r1', origin, lifeMs: 900 },
    { kind: 'record', request: 'r1', origin, lifeMs: 900 },
    { kind: 'versions', revision: 7, value: '[0,0,[]]' },
    { kind: 'asked', question: 3, request: 'r1', service: 'llm' },
    { kind: 'answered', question: 3, answer: { kind: 'begun', ...origin } },
    { kind: 'answered', question: 3, answer: { kind: 'only', ...origin } },
    { kind: 'answered', question: 3, answer: { kind: 'several' } },
    { kind: 'answered', question: 3, answer: { kind: 'unknown' } },
  ];
  messages.forEach((message) =>
    t.deepEqual(decodeMessage(encodeOriginMessage(message)), { kind: 'origin', message }),
  );
  const field = fc.oneof(
    fc.constantFrom('told', 'record', 'versions', 'asked', 'answered', 'begun', 'only'),
    fc.string(),
    fc.double(),
    fc.constant(null),
  );
  fc.assert(
    fc.property(fc.array(field, { maxLength: 6 }), (fields) => {
      const decoded = decodeOriginMessage([originTag, ...fields]);
      if (decoded?.kind === 'told') return decoded.lifeMs >= 0 && decoded.request.length >= 0;
      if (decoded?.kind === 'asked') return Number.isFinite(decoded.question);
      return true;
    }),
  );
});
