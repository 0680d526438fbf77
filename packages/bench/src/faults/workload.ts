import { setTimeout as sleep } from 'node:timers/promises';
import { callCompletion, callService, digestPrompt } from '../caller.js';
import type { Fleet } from '../fleet.js';
import type { SeededRandom } from '../seeded-random.js';
import type { CallRecord } from './records.js';

const meanCallIntervalMs = 25;
const maxOpenCalls = 400;

/** An API key that callers use. */
export interface CallerKey {
  readonly id: string;
  readonly key: string;
  readonly workspace: string;
}

const sendCompletion = async (
  fleet: Fleet,
  random: SeededRandom,
  callerKey: CallerKey,
  sequence: number,
): Promise<CallRecord> => {
  const vm = random.integer(0, fleet.urls.length - 1);
  const urgent = random.next() < 0.3;
  const tokens = random.integer(5, 60);
  const filler = 'x'.repeat(random.integer(50, urgent ? 500 : 8_000));
  const prompt = `tokens=${tokens} ${sequence} ${callerKey.workspace} ${filler}`;
  const cancelled = random.next() < 0.15;
  const abort = new AbortController();
  if (cancelled) setTimeout(() => abort.abort(), random.integer(1, 800));
  const result = await callCompletion({
    url: fleet.urls[vm] ?? '',
    key: callerKey.key,
    model: fleet.deployment.model,
    prompt,
    maxTokens: 64,
    urgent,
    signal: abort.signal,
  });
  return {
    kind: 'completion',
    workspace: callerKey.workspace,
    keyId: callerKey.id,
    promptDigest: digestPrompt(prompt),
    vm,
    cancelled,
    result,
  };
};

const sendConfirmation = async (
  fleet: Fleet,
  vm: number,
  callerKey: CallerKey,
  idempotencyKey: string,
): Promise<CallRecord> => {
  const body = JSON.stringify({ order: idempotencyKey });
  const result = await callService(
    fleet.urls[vm] ?? '',
    'POST',
    '/orders/7/confirm',
    { authorization: `Bearer ${callerKey.key}`, 'idempotency-key': idempotencyKey },
    body,
  );
  const { workspace, id: keyId } = callerKey;
  return { kind: 'service', workspace, keyId, idempotencyKey, body, vm, result };
};

/**
 * Sends an order confirmation, in 30% of the cases to two VMs simultaneously, and retries it
 * at random VMs until it succeeds, at most three times.
 */
const sendConfirmationWithRetries = async (
  fleet: Fleet,
  random: SeededRandom,
  callerKey: CallerKey,
  sequence: number,
): Promise<CallRecord[]> => {
  const idempotencyKey = `order-${sequence}`;
  const pickRandomVm = () => random.integer(0, fleet.urls.length - 1);
  const simultaneousCount = random.next() < 0.3 ? 2 : 1;
  const vms = Array.from({ length: simultaneousCount }, pickRandomVm);
  const retries = Array.from({ length: 3 }, () => ({
    vm: pickRandomVm(),
    delayMs: random.integer(50, 1_500),
  }));
  const records = await Promise.all(
    vms.map((vm) => sendConfirmation(fleet, vm, callerKey, idempotencyKey)),
  );
  for (const { vm, delayMs } of retries) {
    if (records.some((r) => r.result.status === 200)) return records;
    await sleep(delayMs);
    records.push(await sendConfirmation(fleet, vm, callerKey, idempotencyKey));
  }
  return records;
};

const sendRead = async (
  fleet: Fleet,
  random: SeededRandom,
  callerKey: CallerKey,
): Promise<CallRecord> => {
  const vm = random.integer(0, fleet.urls.length - 1);
  const result = await callService(
    fleet.urls[vm] ?? '',
    'GET',
    '/stock/billet-40',
    { authorization: `Bearer ${callerKey.key}` },
    undefined,
  );
  const { workspace, id: keyId } = callerKey;
  return { kind: 'service', workspace, keyId, idempotencyKey: '', body: '', vm, result };
};

/**
 * Sends calls at random intervals until the deadline, without waiting for earlier ones to
 * end, and collects their results.
 */
export const runWorkload = async (
  fleet: Fleet,
  random: SeededRandom,
  callerKeys: readonly CallerKey[],
  deadline: number,
): Promise<CallRecord[]> => {
  const records: CallRecord[] = [];
  const openCalls = new Set<Promise<void>>();
  const track = (call: Promise<CallRecord | CallRecord[]>): void => {
    const pendingCall = call.then((finishedCalls) => {
      records.push(...[finishedCalls].flat());
      openCalls.delete(pendingCall);
    });
    openCalls.add(pendingCall);
  };
  for (let sequence = 0; performance.now() < deadline; sequence += 1) {
    const callerKey = random.pick(callerKeys);
    const kindSample = random.next();
    if (openCalls.size < maxOpenCalls) {
      if (kindSample < 0.4) track(sendCompletion(fleet, random, callerKey, sequence));
      else if (kindSample < 0.75)
        track(sendConfirmationWithRetries(fleet, random, callerKey, sequence));
      else track(sendRead(fleet, random, callerKey));
    }
    await sleep(random.exponential(meanCallIntervalMs));
  }
  await Promise.all(openCalls);
  return records;
};
