// The open connections between the VMs and the store go silent; the operator moves a route then.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { apiKey, host, makeConfig } from '../lib/config.mjs';
import {
  awaitReady,
  bounds,
  contactMs,
  hasTrouble,
  now,
  record,
  runCase,
  send,
  sleep,
  startVms,
} from '../lib/harness.mjs';
import { startDesk } from '../lib/servers.mjs';
import { startLink, startStore } from '../lib/store.mjs';

/** Zones of the eight VMs, as on the sheet. */
const zones = 'abbbaccd'.split('').map((letter) => `eu-north-${letter}`);

/** Interval between two order confirmations at a VM. */
const requestGapMs = 40;

const play = async () => {
  const store = await startStore();
  const links = await Promise.all(zones.map(() => startLink(store.port)));
  store.put('op/config', makeConfig(1));
  const desks = [];
  for (const [id, service] of [
    ['i-1', 'order-desk'],
    ['i-2', 'order-desk'],
    ['i-3', 'order-desk-new'],
    ['i-4', 'order-desk-new'],
  ])
    desks.push(await startDesk(store, { id, service }));
  const vms = await startVms(
    zones,
    links.map(({ port }) => port),
  );
  await awaitReady(vms);
  await sleep(5000);

  const calls = [];
  let isSending = true;
  const sendAt = async (vm) => {
    for (let n = 0; isSending; n += 1) {
      const id = `${vm.name}-${n}`;
      const call = { id, vm: vm.name, sentAt: now() };
      calls.push(call);
      void send(vm.callers, {
        path: '/confirm/17',
        method: 'POST',
        headers: { host, 'request-id': id, deadline: '1500', 'x-api-key': apiKey },
        body: 'quantity=2',
      }).then(({ status }) => Object.assign(call, { status }));
      await sleep(requestGapMs);
    }
  };
  vms.forEach((vm) => void sendAt(vm));
  await sleep(1000);

  // Ordinary work: a new configuration, and a runner that is added.
  store.put('op/config', makeConfig(2));
  desks.push(await startDesk(store, { id: 'i-5', service: 'order-desk-new' }));
  await sleep(200);

  const silentAt = now();
  if (hasTrouble) {
    const connections = links.map((link) => link.silenceOpen());
    record('open connections to the store go silent', { connections });
  }
  await sleep(100);
  const movedAt = store.put('op/config', makeConfig(3, 'order-desk-new'));
  await sleep(8000);
  isSending = false;
  await sleep(1700);
  calls.forEach((call) => record('call', call));

  const callsById = new Map(calls.map((call) => [call.id, call]));
  // In touch: ContactMs without a reset of connections. Stale: ConfigApplyMs after the acknowledgement.
  const inTouchFrom = hasTrouble ? silentAt + contactMs : 0;
  const staleFrom = Math.max(inTouchFrom, movedAt + bounds.ConfigApplyMs);
  const oldRuns = desks
    .flatMap(({ runs }) => runs)
    .filter(({ service }) => service === 'order-desk')
    .map((run) => ({ ...run, sentAt: callsById.get(run.id).sentAt }));
  const violations = oldRuns
    .filter(({ sentAt }) => sentAt > staleFrom)
    .map((run) => ({
      ...run,
      afterAckMs: run.sentAt - movedAt,
      afterSilenceMs: run.sentAt - silentAt,
    }));
  const lastOld = Math.max(...oldRuns.map(({ sentAt }) => sentAt));
  return {
    violations,
    limit: 0,
    summary: {
      rule: 'CONFIG',
      calls: calls.length,
      answered: calls.filter(({ status }) => status === 200).length,
      lastRunByOldServiceAfterAckMs: Math.round(lastOld - movedAt),
    },
  };
};

await runCase(dirname(fileURLToPath(import.meta.url)), play);
