// Two of four servers spoil one in fifty of their answers, four times for 5.5 s: the digits of the status are wrong.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { startBalancer } from '../lib/balancer.mjs';
import { apiKey, host, makeConfig } from '../lib/config.mjs';
import {
  awaitReady,
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
import { startStore } from '../lib/store.mjs';

const zones = 'abbbaccd'.split('').map((letter) => `eu-north-${letter}`);

/** Interval between two order confirmations, over all VMs; the sheet has 30.8 a second. */
const requestGapMs = 32;

const playMs = 42000;

/** Times from the start of the traffic in which answers are spoiled. */
const spoiledFrom = [2000, 12000, 22000, 32000];
const spoiledMs = 5500;

/** Of the route, and the time within which the rule wants an answer after it. */
const timeoutMs = 800;
const answerMs = 500;

const deadlineMs = 1500;

const play = async () => {
  const store = await startStore();
  store.put('op/config', makeConfig(1));
  let trafficAt = Number.POSITIVE_INFINITY;
  const isSpoiling = () => {
    const ms = now() - trafficAt;
    return hasTrouble && spoiledFrom.some((from) => ms >= from && ms < from + spoiledMs);
  };
  for (let n = 1; n <= 4; n += 1)
    await startDesk(store, {
      id: `i-${n}`,
      service: 'order-desk',
      zone: `eu-north-${'abcd'[n - 1]}`,
      garbles: (answers) => n <= 2 && answers % 50 === 0 && isSpoiling(),
    });
  const vms = await startVms(
    zones,
    zones.map(() => store.port),
  );
  await awaitReady(vms);
  const balancer = startBalancer(vms);
  await sleep(contactMs);

  const calls = [];
  trafficAt = now();
  const until = now() + playMs;
  for (let n = 0; now() < until; n += 1) {
    const vm = balancer.choose();
    const call = { id: `c-${n}`, vm: vm.name, sentAt: now() };
    calls.push(call);
    const answer = send(vm.callers, {
      path: '/confirm/17',
      method: 'POST',
      headers: {
        host,
        'request-id': call.id,
        deadline: String(deadlineMs),
        'x-api-key': apiKey,
      },
      body: `order=${n}`,
    });
    void answer.then(({ status }) => Object.assign(call, { status, ms: now() - call.sentAt }));
    await sleep(requestGapMs);
  }
  await sleep(6000);
  calls.forEach((call) => record('call', call));

  const late = calls.filter(({ ms = Number.POSITIVE_INFINITY }) => ms > timeoutMs);
  const unanswered = late.filter(({ ms = Number.POSITIVE_INFINITY }) => ms > timeoutMs + answerMs);
  const isBroken = unanswered.length > late.length / 2 && unanswered.length >= 8;
  return {
    violations: isBroken ? unanswered : [],
    limit: 0,
    summary: {
      rule: 'CONFIG',
      calls: calls.length,
      unansweredAtTimeout: late.length,
      unansweredHalfASecondLater: unanswered.length,
      longestMs: Math.round(Math.max(...calls.map(({ ms = 0 }) => ms))),
      vms: [...new Set(unanswered.map(({ vm }) => vm))].length,
    },
  };
};

await runCase(dirname(fileURLToPath(import.meta.url)), play);
