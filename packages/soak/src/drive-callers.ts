import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { sendRequest, type RouterProcess } from '@hemlocksill/platform/fakes/stand-in-platform.js';
import type { SeededRandom } from '@hemlocksill/bench/seeded-random.js';
import { callerTimeoutMs } from './check-promises.js';
import type { CallKind, CallRecord } from './records.js';

const requestPaths: Readonly<Record<CallKind, string>> = {
  stream: '/summary/1',
  confirm: '/confirm/1',
  read: '/stock/1',
};

/** Maximum delay between two requests of a caller, in milliseconds. */
const maxThinkTimeMs = 60;

/** Share of the streams whose caller disconnects before the end. */
const disconnectShare = 0.08;

/** Share of the requests before which a caller switches to a randomly chosen VM. */
const switchVmShare = 0.05;

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
  /** Parts of the prompts of a caller's streams, if requests state them. */
  readonly listParts: (caller: number) => readonly string[] | undefined;
  readonly random: SeededRandom;
  readonly now: () => number;
}

const sendCall = async (
  deps: CallerDeps,
  router: RouterProcess,
  record: CallRecord,
  agent: Agent,
  shouldDisconnectEarly: boolean,
  parts: readonly string[] | undefined,
): Promise<number> => {
  const timeoutSignal = AbortSignal.timeout(2 * callerTimeoutMs[record.kind]);
  const pendingResponse = sendRequest(router.callersPort, {
    path: requestPaths[record.kind],
    id: record.id,
    method: record.kind === 'read' ? 'GET' : 'POST',
    key: record.key,
    timeoutMs: callerTimeoutMs[record.kind],
    agent,
    ...(record.kind === 'stream' ? { tokens: [3_000, 60] as const, body: 'summarise' } : {}),
    ...(record.kind === 'stream' && parts !== undefined ? { parts } : {}),
    onData: (text, disconnect) => {
      record.body = text;
      if (
        !shouldDisconnectEarly ||
        record.disconnectedAt !== undefined ||
        !text.includes('id: 3\n')
      )
        return;
      record.disconnectedAt = deps.now();
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
    record.endedAt = deps.now();
    return Number(response.headers['retry-after'] ?? 0) * 1_000;
  } catch {
    record.endedAt = deps.now();
    return 0;
  }
};

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
  const runCaller = async (caller: number): Promise<void> => {
    let agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let vm = deps.vms[caller % deps.vms.length];
    for (let n = 0; !isStopped; n += 1) {
      const kind = random.pick(['stream', 'confirm', 'read'] as const);
      if (!vm || vm.isDown || random.next() < switchVmShare) vm = random.pick(deps.vms);
      const router = vm.process;
      const record: CallRecord = {
        id: `c${caller}-${n}`,
        vm: router.vm,
        kind,
        key: deps.getKey(),
        startedAt: deps.now(),
        endedAt: undefined,
        status: undefined,
        body: '',
        isComplete: false,
        disconnectedAt: undefined,
      };
      records.push(record);
      const shouldDisconnectEarly = kind === 'stream' && random.next() < disconnectShare;
      const parts = deps.listParts(caller);
      const retryDelayMs = await sendCall(
        deps,
        router,
        record,
        agent,
        shouldDisconnectEarly,
        parts,
      );
      if (record.endedAt === undefined) {
        agent.destroy();
        agent = new Agent({ keepAlive: true, maxSockets: 1 });
      }
      await sleep(Math.min(maxRetryDelayMs, retryDelayMs) + random.next() * maxThinkTimeMs);
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
