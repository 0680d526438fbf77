import { setTimeout as sleep } from 'node:timers/promises';
import { callCompletion, callService, digestPrompt } from '../caller.js';
import type { Fleet } from '../fleet.js';
import type { SeededRandom } from '../seeded-random.js';
import type { CallRecord } from './records.js';

const meanPauseMs = 25;
const maxOpenCalls = 400;

/** A key that callers use. */
export interface CallerKey {
  readonly id: string;
  readonly key: string;
  readonly workspace: string;
}

const startCompletion = async (
  fleet: Fleet,
  random: SeededRandom,
  caller: CallerKey,
  sequence: number,
): Promise<CallRecord> => {
  const vm = random.integer(0, fleet.urls.length - 1);
  const urgent = random.next() < 0.3;
  const tokens = random.integer(5, 60);
  const filler = 'x'.repeat(random.integer(50, urgent ? 500 : 8_000));
  const prompt = `tokens=${tokens} ${sequence} ${caller.workspace} ${filler}`;
  const cancelled = random.next() < 0.15;
  const abort = new AbortController();
  if (cancelled) setTimeout(() => abort.abort(), random.integer(1, 800));
  const end = await callCompletion({
    url: fleet.urls[vm] ?? '',
    key: caller.key,
    model: fleet.deployment.model,
    prompt,
    maxTokens: 64,
    urgent,
    signal: abort.signal,
  });
  return {
    kind: 'completion',
    workspace: caller.workspace,
    keyId: caller.id,
    promptDigest: digestPrompt(prompt),
    vm,
    cancelled,
    end,
  };
};

const callOnce = async (
  fleet: Fleet,
  vm: number,
  caller: CallerKey,
  idempotencyKey: string,
): Promise<CallRecord> => {
  const body = JSON.stringify({ order: idempotencyKey });
  const end = await callService(
    fleet.urls[vm] ?? '',
    'POST',
    '/orders/7/confirm',
    { authorization: `Bearer ${caller.key}`, 'idempotency-key': idempotencyKey },
    body,
  );
  const { workspace, id: keyId } = caller;
  return { kind: 'service', workspace, keyId, idempotencyKey, body, vm, end };
};

/** Sends an order confirmation, now and then at two VMs at once, and repeats it elsewhere. */
const startConfirmation = async (
  fleet: Fleet,
  random: SeededRandom,
  caller: CallerKey,
  sequence: number,
): Promise<CallRecord[]> => {
  const name = `order-${sequence}`;
  const pickVm = () => random.integer(0, fleet.urls.length - 1);
  const together = random.next() < 0.3 ? 2 : 1;
  const vms = Array.from({ length: together }, pickVm);
  const repeats = Array.from({ length: 3 }, () => ({
    vm: pickVm(),
    pauseMs: random.integer(50, 1_500),
  }));
  const records = await Promise.all(vms.map((vm) => callOnce(fleet, vm, caller, name)));
  for (const { vm, pauseMs } of repeats) {
    if (records.some((r) => r.end.status === 200)) return records;
    await sleep(pauseMs);
    records.push(await callOnce(fleet, vm, caller, name));
  }
  return records;
};

const startRead = async (
  fleet: Fleet,
  random: SeededRandom,
  caller: CallerKey,
): Promise<CallRecord> => {
  const vm = random.integer(0, fleet.urls.length - 1);
  const end = await callService(
    fleet.urls[vm] ?? '',
    'GET',
    '/stock/billet-40',
    { authorization: `Bearer ${caller.key}` },
    undefined,
  );
  const { workspace, id: keyId } = caller;
  return { kind: 'service', workspace, keyId, idempotencyKey: '', body: '', vm, end };
};

/** Sends calls in an open loop until the deadline and collects how they ended. */
export const runWorkload = async (
  fleet: Fleet,
  random: SeededRandom,
  callers: readonly CallerKey[],
  deadline: number,
): Promise<CallRecord[]> => {
  const records: CallRecord[] = [];
  const open = new Set<Promise<void>>();
  const track = (call: Promise<CallRecord | CallRecord[]>): void => {
    const done = call.then((ended) => {
      records.push(...[ended].flat());
      open.delete(done);
    });
    open.add(done);
  };
  for (let sequence = 0; performance.now() < deadline; sequence += 1) {
    const caller = random.pick(callers);
    const roll = random.next();
    if (open.size < maxOpenCalls) {
      if (roll < 0.4) track(startCompletion(fleet, random, caller, sequence));
      else if (roll < 0.75) track(startConfirmation(fleet, random, caller, sequence));
      else track(startRead(fleet, random, caller));
    }
    await sleep(random.exponential(meanPauseMs));
  }
  await Promise.all(open);
  return records;
};
