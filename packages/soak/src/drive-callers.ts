import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { sendRequest, type RouterProcess } from '@hemlocksill/platform/fakes/stand-in-platform.js';
import type { SeededRandom } from '@hemlocksill/bench/seeded-random.js';
import { callerTimeoutMs } from './check-promises.js';
import type { CallKind, CallRecord } from './records.js';
import { sharedPart } from './start-environment.js';

const requestPaths: Readonly<Record<CallKind, string>> = {
  stream: '/summary/1',
  confirm: '/confirm/1',
  read: '/stock/1',
};

/** Maximum delay between two requests of a caller, in milliseconds. */
const maxThinkTimeMs = 60;

/** Bounds of the delay between two requests of a patient caller, in milliseconds. */
const minPatienceMs = 1_000;
const maxPatienceMs = 5_000;

/** Share of the requests whose body comes in two segments, and the maximum time between these. */
const segmentedShare = 0.3;
const maxSegmentGapMs = 300;

/** Share of the streams whose caller disconnects before the end. */
const disconnectShare = 0.08;

/** Length of an answer from which a caller closes its connection; sound answers are far shorter. */
const maxAnswerLength = 16_384;

/** Path of streams that can't be resumed. */
const draftPath = '/draft/1';

/** Share of the requests before which a caller switches to a randomly chosen VM. */
const switchVmShare = 0.05;

/** Number of times for which a caller takes up the same stream at most. */
const maxTakeUps = 2;

/** Interval between attempts to take up a stream while no VM is up, and the time after which callers give up. */
const takeUpRetryMs = 250;
const maxTakeUpMs = 6_000;

/** Upper limit on the delay that a caller accepts from a `Retry-After` header. */
const maxRetryDelayMs = 500;

/** The simulated callers of a soak. */
export interface Callers {
  readonly records: readonly CallRecord[];
  /** Stops the callers; resolves when their last requests have ended. */
  readonly stop: () => Promise<void>;
}

/** Dependencies of the callers. */
export interface CallerDeps {
  readonly vms: readonly { readonly process: RouterProcess; readonly isDown: boolean }[];
  readonly getKey: () => string;
  /** Whether streams state the parts of their prompts. */
  readonly hasPromptParts: boolean;
  /** Whether callers take up streams that broke off, at another VM. */
  readonly takesUpStreams: boolean;
  /** Whether they go on to try while no VM is up. */
  readonly outlivesLosses: boolean;
  /**
   * The first caller that leaves its connection idle for seconds between two requests. If there are such callers,
   * bodies may come in two segments, and callers use a VM until its process is gone.
   */
  readonly patientFrom: number | undefined;
  /** Kinds from which they draw their requests. */
  readonly callKinds: readonly CallKind[];
  /** Share of the streams that can't be resumed, for which callers don't try that either. */
  readonly draftShare: number;
  /** Number of events in a complete stream. */
  readonly streamEvents: number;
  readonly random: SeededRandom;
  readonly now: () => number;
}

/** What a call sends, beside what its record says. */
export interface CallOptions {
  /** Undefined for a connection of its own. */
  readonly agent?: Agent;
  readonly shouldDisconnectEarly?: boolean;
  readonly parts?: readonly string[] | undefined;
  readonly body?: string | undefined;
  readonly restAfterMs?: number | undefined;
}

/**
 * Returns the parts of the prompts of a caller's streams.
 *
 * @example
 * listCallerParts(3); // ['a1', 'c3']
 */
export const listCallerParts = (caller: number): readonly string[] => [sharedPart, `c${caller}`];

/**
 * Makes the record of a call that is about to be sent.
 *
 * @example
 * makeCallRecord('c1-1', 'vm-1', 'read', 'k1', now());
 */
export const makeCallRecord = (
  id: string,
  vm: string,
  kind: CallKind,
  key: string,
  startedAt: number,
  takesUp?: CallRecord['takesUp'],
): CallRecord => ({
  id,
  vm,
  kind,
  key,
  startedAt,
  endedAt: undefined,
  status: undefined,
  body: '',
  isComplete: false,
  takesUp,
  disconnectedAt: undefined,
});

/**
 * Sends a call and completes its record; returns the delay that the response asks for, in milliseconds.
 *
 * @example
 * await sendCall(router, record, now, { body: 'summarise' });
 */
export const sendCall = async (
  router: RouterProcess,
  record: CallRecord,
  now: () => number,
  options: CallOptions,
): Promise<number> => {
  const { agent, shouldDisconnectEarly, parts, body, restAfterMs } = options;
  if (restAfterMs !== undefined) record.sentAt = record.startedAt + restAfterMs;
  const timeoutSignal = AbortSignal.timeout(2 * callerTimeoutMs[record.kind]);
  const pendingResponse = sendRequest(router.callersPort, {
    path: record.isResumable === false ? draftPath : requestPaths[record.kind],
    id: record.id,
    method: record.kind === 'read' ? 'GET' : 'POST',
    key: record.key,
    timeoutMs: callerTimeoutMs[record.kind],
    ...(agent === undefined ? {} : { agent }),
    ...(record.kind === 'stream' ? { tokens: [3_000, 60] as const } : {}),
    ...(record.kind === 'stream' && parts !== undefined ? { parts } : {}),
    // Node.js sends the body of a GET request only with a stated length.
    ...(body === undefined ? {} : { body, headers: { 'content-length': `${body.length}` } }),
    ...(restAfterMs === undefined ? {} : { restAfterMs }),
    ...(record.takesUp === undefined ? {} : { takesUp: record.takesUp }),
    onData: (text, disconnect) => {
      record.body = text;
      if (record.disconnectedAt !== undefined) return;
      const mustDisconnect =
        text.length > maxAnswerLength || (shouldDisconnectEarly && text.includes('id: 3\n'));
      if (!mustDisconnect) return;
      record.disconnectedAt = now();
      disconnect();
    },
  });
  const timeoutReached = new Promise<undefined>((resolve) => {
    timeoutSignal.addEventListener('abort', () => resolve(undefined));
  });
  try {
    const response = await Promise.race([pendingResponse, timeoutReached]);
    if (!response) return 0;
    record.status = response.status;
    // A response that completes after the disconnect does not count as received.
    record.isComplete = response.isComplete && record.disconnectedAt === undefined;
    record.body = response.body;
    record.endedAt = now();
    return Number(response.headers['retry-after'] ?? 0) * 1_000;
  } catch (error) {
    record.endedAt = now();
    record.failure = error instanceof Error && 'code' in error ? String(error.code) : undefined;
    return 0;
  }
};

/** Returns the id of the last complete event of a stream; 0 if there is none. */
const getLastEvent = (body: string): number =>
  Number([...body.matchAll(/id: (\d+)\n[^\n]*\n\n/g)].at(-1)?.[1] ?? 0);

/**
 * Starts callers that reuse their connections, send one request at a time and disconnect from some
 * streams before the end.
 *
 * @example
 * const callers = driveCallers(deps, 12);
 * await callers.stop();
 */
export const driveCallers = (deps: CallerDeps, count: number): Callers => {
  const records: CallRecord[] = [];
  const { random } = deps;
  let isStopped = false;

  /** Takes up a stream that broke off after an event, at one VM after the other. */
  const takeUp = async (first: CallRecord): Promise<void> => {
    let broken = first;
    let after = 0;
    const maxAttempts = deps.outlivesLosses ? maxTakeUpMs / takeUpRetryMs : maxTakeUps;
    const maxMs = deps.outlivesLosses ? maxTakeUpMs : callerTimeoutMs.stream / 2;
    for (let n = 1; n <= maxAttempts; n += 1) {
      after = Math.max(after, getLastEvent(broken.body));
      const isOver = broken.isComplete || broken.disconnectedAt !== undefined;
      const isLate = deps.now() - first.startedAt > maxMs;
      if (isOver || isLate || after === 0 || after >= deps.streamEvents) return;
      if (n > 1 && deps.outlivesLosses) await sleep(takeUpRetryMs);
      const router = random.pick(deps.vms).process;
      const id = `${first.id}-u${n}`;
      const takesUp = { call: first.id, after };
      broken = makeCallRecord(id, router.vm, 'stream', deps.getKey(), deps.now(), takesUp);
      records.push(broken);
      await sendCall(router, broken, deps.now, { body: 'summarise' });
    }
  };

  const runCaller = async (caller: number): Promise<void> => {
    let agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let vm = deps.vms[caller % deps.vms.length];
    let isGone = false;
    const isPatient = deps.patientFrom !== undefined && caller >= deps.patientFrom;
    const chooseSegmentGap = (): number | undefined =>
      deps.patientFrom !== undefined && random.next() < segmentedShare
        ? random.integer(0, maxSegmentGapMs)
        : undefined;
    for (let n = 0; !isStopped; n += 1) {
      const kind = random.pick(deps.callKinds);
      const mustSwitch = deps.patientFrom === undefined ? vm?.isDown : isGone;
      if (!vm || mustSwitch || random.next() < switchVmShare) vm = random.pick(deps.vms);
      const router = vm.process;
      const id = `c${caller}-${n}`;
      const record = makeCallRecord(id, router.vm, kind, deps.getKey(), deps.now());
      if (kind === 'stream' && deps.draftShare > 0)
        record.isResumable = random.next() >= deps.draftShare;
      records.push(record);
      const shouldDisconnectEarly = kind === 'stream' && random.next() < disconnectShare;
      const restAfterMs = kind === 'read' ? undefined : chooseSegmentGap();
      const bodyOfKind = kind === 'stream' ? 'summarise' : undefined;
      const retryDelayMs = await sendCall(router, record, deps.now, {
        agent,
        shouldDisconnectEarly,
        parts: deps.hasPromptParts ? listCallerParts(caller) : undefined,
        body: restAfterMs === undefined ? bodyOfKind : (bodyOfKind ?? 'confirm'),
        restAfterMs,
      });
      isGone = record.status === undefined;
      if (deps.takesUpStreams && kind === 'stream' && record.isResumable !== false)
        await takeUp(record);
      if (record.endedAt === undefined) {
        agent.destroy();
        agent = new Agent({ keepAlive: true, maxSockets: 1 });
      }
      const thinkTimeMs = isPatient
        ? random.integer(minPatienceMs, maxPatienceMs)
        : random.next() * maxThinkTimeMs;
      await sleep(Math.min(maxRetryDelayMs, retryDelayMs) + thinkTimeMs);
    }
    agent.destroy();
  };
  const callerLoops = Array.from({ length: count }, (_, caller) => runCaller(caller));
  return {
    records,
    stop: async () => {
      isStopped = true;
      await Promise.all(callerLoops);
    },
  };
};
