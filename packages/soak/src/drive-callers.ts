import { Agent } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { sendRequest, type RouterProcess } from '@hemlocksill/platform/fakes/stand-in-platform.js';
import type { SeededRandom } from '@hemlocksill/bench/seeded-random.js';
import { waitMs } from './check-promises.js';
import type { CallKind, CallRecord } from './records.js';

const paths: Readonly<Record<CallKind, string>> = {
  stream: '/summary/1',
  confirm: '/confirm/1',
  read: '/stock/1',
};

/** Longest pause between two requests of a caller. */
const longestPauseMs = 60;

/** Share of the callers that leave in mid-answer. */
const leaveShare = 0.08;

/** Share of the requests before which a caller moves to another VM. */
const moveShare = 0.05;

/** Longest that a caller asked to return waits. */
const longestReturnMs = 500;

/** Callers of a soak. */
export interface Callers {
  readonly records: readonly CallRecord[];
  /** Ends when all callers have ended. */
  readonly stop: () => Promise<void>;
}

/** What callers need. */
export interface CallerDeps {
  readonly vms: readonly { readonly process: RouterProcess; readonly isDown: boolean }[];
  readonly key: () => string;
  readonly random: SeededRandom;
  readonly now: () => number;
}

const send = async (
  deps: CallerDeps,
  router: RouterProcess,
  record: CallRecord,
  agent: Agent,
  leaves: boolean,
): Promise<number> => {
  const limit = AbortSignal.timeout(2 * waitMs[record.kind]);
  const answer = sendRequest(router.callersPort, {
    path: paths[record.kind],
    id: record.id,
    method: record.kind === 'read' ? 'GET' : 'POST',
    key: record.key,
    timeoutMs: waitMs[record.kind],
    agent,
    ...(record.kind === 'stream' ? { tokens: [3_000, 60] as const, body: 'summarise' } : {}),
    onData: (text, leave) => {
      record.body = text;
      if (!leaves || record.leftAt !== undefined || !text.includes('id: 3\n')) return;
      record.leftAt = deps.now();
      leave();
    },
  });
  const timeout = new Promise<undefined>((resolve) => {
    limit.addEventListener('abort', () => resolve(undefined));
  });
  try {
    const got = await Promise.race([answer, timeout]);
    if (!got) return 0;
    record.status = got.status;
    // What arrives after the caller has left is not read to its end.
    record.isWhole = got.isComplete && record.leftAt === undefined;
    record.body = got.body;
    record.endedAt = deps.now();
    return Number(got.headers['retry-after'] ?? 0) * 1_000;
  } catch {
    record.endedAt = deps.now();
    return 0;
  }
};

/**
 * Drives callers that keep their connections, send one request after another and leave some.
 *
 * @example
 * const callers = driveCallers(deps, 12);
 * await callers.stop();
 */
export const driveCallers = (deps: CallerDeps, count: number): Callers => {
  const records: CallRecord[] = [];
  const { random } = deps;
  let stopped = false;
  const run = async (caller: number): Promise<void> => {
    let agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let vm = deps.vms[caller % deps.vms.length];
    for (let n = 0; !stopped; n += 1) {
      const kind = random.pick(['stream', 'confirm', 'read'] as const);
      if (!vm || vm.isDown || random.next() < moveShare) vm = random.pick(deps.vms);
      const router = vm.process;
      const record: CallRecord = {
        id: `c${caller}-${n}`,
        vm: router.vm,
        kind,
        key: deps.key(),
        startedAt: deps.now(),
        endedAt: undefined,
        status: undefined,
        body: '',
        isWhole: false,
        leftAt: undefined,
      };
      records.push(record);
      const leaves = kind === 'stream' && random.next() < leaveShare;
      const returnMs = await send(deps, router, record, agent, leaves);
      if (record.endedAt === undefined) {
        agent.destroy();
        agent = new Agent({ keepAlive: true, maxSockets: 1 });
      }
      await pause(Math.min(longestReturnMs, returnMs) + random.next() * longestPauseMs);
    }
    agent.destroy();
  };
  const ended = Array.from({ length: count }, (_, caller) => run(caller));
  return {
    records,
    stop: async () => {
      stopped = true;
      await Promise.all(ended);
    },
  };
};
