import { checkEventOrder, explainVersionChanges } from './check-event-order.js';
import { checkExits, checkMemory, checkReadiness } from './check-vms.js';
import { graceMs } from './start-environment.js';
import type {
  AcknowledgedChange,
  CallKind,
  CallRecord,
  RunRecord,
  Service,
  SoakRecord,
  Span,
  StopRecord,
} from './records.js';
import { overlaps, sumOverlaps } from './spans.js';

/** Time limits of the guarantees in docs/GUARANTEES.md, in milliseconds. */
const timeLimits = {
  /** From the acknowledgement of a withdrawn key or a draining server until every VM applies it. */
  changeInForceMs: 2_000,
  /**
   * A request need not follow a change if the store had an outage between this time before the change
   * and the request, or if the VM had a fault within this time before the request.
   */
  faultWindowMs: 3_000,
  /**
   * From the third crash under one request until every VM keeps it from servers, and the time that a VM has
   * to be without a fault for this.
   */
  contactMs: 3_000,
  /** From the disconnect of a caller until the backend server stops working for it. */
  runEndMs: 500,
  /** From the end of the caller's timeout until its final response. */
  finalResponseMs: 500,
  /** From the end of the last fault until the fleet serves requests again. */
  recoveryMs: 12_000,
};

/** A request that was sent less than this before its connection ends may have crossed its close. */
const lossSlackMs = 200;

/** Time after a signal to stop from which on a server that is still at work excuses a cut answer. */
const lastWorkMs = (graceMs * 5) / 6;

/** Time after a signal to stop in which every request is answered, whenever it was sent. */
const surelyReadMs = 1_000;

/** Failure of a connection at whose port nobody listens. */
const refusedConnection = 'ECONNREFUSED';

/** Last part of a grace period, in which a VM that does not run may be killed. */
const lastSecondMs = 1_000;

/** Time after a signal to stop until which requests may be cut if a server takes all of the grace period. */
const lastLongRequestMs = 3_000;

/** Tolerance added to each limit, since a soak may share its machine with other load. */
const toleranceMs = 1_000;

/** Minimum share of requests that must succeed once the fleet has recovered. */
const minServedShare = 0.9;

/** A violated guarantee. */
export interface Violation {
  readonly promise:
    | 'runs-once'
    | 'true-refusal'
    | 'own-answer'
    | 'workspace-only'
    | 'change-in-force'
    | 'ends-with-caller'
    | 'final-answer'
    | 'ends-with-answer'
    | 'graceful-stop'
    | 'keeps-running'
    | 'keeps-memory'
    | 'stays-ready'
    | 'bounded-crashes'
    | 'keeps-limit'
    | 'one-version'
    | 'event-order'
    | 'recovers';
  readonly detail: string;
}

/** Timeout of a caller by kind of request, in milliseconds. */
export const callerTimeoutMs = { stream: 6_000, confirm: 2_000, read: 2_000 } as const;

/** Timeout of the stand-in's route by kind of request; each is shorter than the caller's timeout. */
const routeTimeoutMs: Readonly<Record<CallKind, number>> = {
  stream: 5_000,
  confirm: 1_000,
  read: 1_000,
};

/** Engines that one part of a prompt may crash. */
const maxCrashesByPart = 5;

/** Crashes of servers under one request after which it may reach only few servers. */
const maxCrashesByRequest = 3;

/** Arrivals of such a request at servers through VMs that have been without faults. */
const maxArrivalsAfterCrashes = 3;

/** Window in which the requests to a limited server count, and what it may hold beyond the limit. */
const limitWindowMs = 4_000;
const limitFactor = 1.5;
const limitSlack = 5;

/** A request that ends this long before its timeout has used its time. */
const timeoutMarginMs = 100;

const serviceByKind: Readonly<Record<CallKind, Service>> = {
  stream: 'llm',
  confirm: 'desk',
  read: 'desk',
};

/** Intervals in which a VM may miss a time limit. */
const listHindrances = (record: SoakRecord, vm: string): readonly Span[] => [
  ...(record.vmFaultSpans.get(vm) ?? []),
  ...(record.storeLinkSpans.get(vm) ?? []),
  ...(record.lateSpans.get(vm) ?? []),
];

const groupRunsById = (runs: readonly RunRecord[]): Map<string, RunRecord[]> => {
  const byId = new Map<string, RunRecord[]>();
  runs
    .filter((run) => !run.isPrefill)
    .forEach((run) => byId.set(run.id, [...(byId.get(run.id) ?? []), run]));
  return byId;
};

/** Ids of the calls whose request ran at a server that answers without an end. */
const listEndlessCalls = ({ runs }: SoakRecord): ReadonlySet<string> =>
  new Set(
    runs.flatMap(({ id, isPrefill, endlessForm }) =>
      endlessForm === undefined || isPrefill ? [] : [id],
    ),
  );

const isRefusal = (call: CallRecord): boolean => call.status === 429 || call.status === 503;

/** Whether a stream contains each event once, in order, and only events of its own request. */
const isValidStream = (call: CallRecord): boolean => {
  const events = [...call.body.matchAll(/id: (\d+)\ndata: (\S+) (?:v\S+ )?e(\d+)\n\n/g)];
  const after = call.takesUp?.after ?? 0;
  const isInOrder = events.every(([, eventId, requestId, eventNumber], index) => {
    const expected = String(after + index + 1);
    return eventId === expected && eventNumber === expected && requestId === call.id;
  });
  return isInOrder && events.map(([text]) => text).join('') === call.body;
};

const isValidResponse = (call: CallRecord, eventCount: number): boolean => {
  if (call.kind !== 'stream') return call.body === `ok ${call.id}`;
  return isValidStream(call) && call.body.includes(`id: ${eventCount}\n`);
};

const checkCall = (
  call: CallRecord,
  runs: readonly RunRecord[],
  record: SoakRecord,
  eventCount: number,
): Violation[] => {
  const violations: Violation[] = [];
  const report = (promise: Violation['promise'], detail: string): void => {
    violations.push({ promise, detail: `${call.id} at ${call.vm}: ${detail}` });
  };
  if (call.kind === 'confirm' && runs.length > 1) report('runs-once', `${runs.length} runs`);
  if (isRefusal(call) && call.kind === 'confirm' && runs.length > 0)
    report('true-refusal', `refused with ${call.status} and run by ${runs[0]?.server}`);
  if (call.status === 200 && call.isComplete && !isValidResponse(call, eventCount))
    report('own-answer', `body ${JSON.stringify(call.body.slice(0, 80))}`);
  if (
    call.kind === 'stream' &&
    call.status === 200 &&
    // What a faulty server wrote is passed on until the answer is broken off.
    runs.every(({ endlessForm }) => endlessForm === undefined) &&
    !isValidStream({ ...call, body: selectCompleteEvents(call) })
  )
    report('own-answer', `events ${JSON.stringify(call.body.slice(0, 120))}`);
  runs.forEach((run) => {
    if (run.hasKey) report('workspace-only', `${run.server} received the key`);
    if (run.workspace !== 'forge') report('workspace-only', `run for ${run.workspace}`);
  });
  const deadline =
    call.startedAt + callerTimeoutMs[call.kind] + timeLimits.finalResponseMs + toleranceMs;
  const isVmHealthy = !overlaps(listHindrances(record, call.vm), call.startedAt, deadline);
  if (isVmHealthy && (call.endedAt ?? record.endedAt) > deadline)
    report(
      'final-answer',
      `no final response until ${Math.round((call.endedAt ?? record.endedAt) - deadline)} ms after the deadline`,
    );
  if (call.disconnectedAt !== undefined && isVmHealthy) {
    const runDeadline = call.disconnectedAt + timeLimits.runEndMs + toleranceMs;
    if (overlaps(record.serverFaultSpans, call.startedAt, runDeadline)) return violations;
    runs
      .filter((run) => (run.endedAt ?? record.endedAt) > runDeadline)
      .forEach((run) => report('ends-with-caller', `${run.server} was still running the request`));
  }
  return violations;
};

/** Returns the complete events of a stream that may be truncated inside an event. */
const selectCompleteEvents = (call: CallRecord): string => {
  const end = call.body.lastIndexOf('\n\n');
  return end < 0 ? '' : call.body.slice(0, end + 2);
};

/**
 * Whether the VM must have applied the change before the call: the time limit has passed, and neither
 * a store outage nor a recent fault of the VM excuses a late change.
 */
const mustApplyChange = (
  call: CallRecord,
  change: AcknowledgedChange,
  record: SoakRecord,
): boolean => {
  const windowStart = change.at - timeLimits.faultWindowMs;
  if (call.startedAt < change.at + timeLimits.changeInForceMs + toleranceMs) return false;
  if (overlaps(record.storeOutages, windowStart, call.startedAt)) return false;
  const faultSpans = listHindrances(record, call.vm);
  return !overlaps(faultSpans, call.startedAt - timeLimits.faultWindowMs, call.startedAt);
};

const checkChanges = (record: SoakRecord, runs: Map<string, RunRecord[]>): Violation[] =>
  record.changes.flatMap((change) =>
    record.calls
      .filter((call) => mustApplyChange(call, change, record))
      .filter((call) =>
        (runs.get(call.id) ?? []).some((run) =>
          change.kind === 'key-withdrawn' ? call.key === change.key : run.server === change.server,
        ),
      )
      .map((call) => ({
        promise: 'change-in-force' as const,
        detail: `${call.id} at ${call.vm} ran ${Math.round(call.startedAt - change.at)} ms after ${JSON.stringify(change)}`,
      })),
  );

/**
 * Whether a cut request was sent so late that it counts only if it was passed on to a server, or waited for longer
 * than a close takes to be seen.
 */
const mayCross = (
  call: CallRecord,
  runs: readonly RunRecord[],
  stop: Span,
  endedAt: number,
  callerLateSpans: readonly Span[],
): boolean => {
  const sentAt = call.sentAt ?? call.startedAt;
  if (sentAt <= stop.from + surelyReadMs) return false;
  // The VM did not accept the connection.
  if (call.failure === refusedConnection && runs.length === 0) return true;
  if (runs.length === 0)
    return endedAt - sentAt - sumOverlaps(callerLateSpans, sentAt, endedAt) <= lossSlackMs;
  const lastWorkAt = stop.from + lastWorkMs;
  return (
    sentAt <= stop.from + lastLongRequestMs &&
    runs.some((run) => (run.endedAt ?? endedAt) >= lastWorkAt)
  );
};

/** Whether a VM was killed when its grace period was over, and did not run for a part of its last second. */
const isLateAtKill = ({ lateSpans }: SoakRecord, { vm, exitCode, from, to }: StopRecord): boolean =>
  exitCode === null && overlaps(lateSpans.get(vm) ?? [], from + graceMs - lastSecondMs, to);

/** Without another fault, a stop cuts no request, and the process ends by itself. */
const checkStops = (record: SoakRecord, runs: Map<string, RunRecord[]>): Violation[] =>
  record.stops.flatMap((stop) => [
    ...(stop.exitCode === 0 || isLateAtKill(record, stop)
      ? []
      : [
          {
            promise: 'graceful-stop' as const,
            detail: `${stop.vm} ended with ${stop.exitCode ?? 'a signal'} ${Math.round(stop.to - stop.from)} ms after its signal`,
          },
        ]),
    ...record.calls
      .filter((call) => {
        const end = call.endedAt ?? record.endedAt;
        const isOpenDuringStop = call.vm === stop.vm && call.startedAt < stop.to && end > stop.from;
        const isCut = call.status === undefined || (call.status === 200 && !call.isComplete);
        if (!isOpenDuringStop || call.disconnectedAt !== undefined || !isCut) return false;
        const callRuns = runs.get(call.id) ?? [];
        // An answer without an end is broken off at any time.
        if (call.status !== undefined && callRuns.some((run) => run.endlessForm !== undefined))
          return false;
        if (mayCross(call, callRuns, stop, end, record.callerLateSpans)) return false;
        const otherFaultSpans = (record.vmFaultSpans.get(call.vm) ?? []).filter(
          ({ from }) => from !== stop.from,
        );
        const serverFaultSpans = record.serverFaultSpans.filter(
          ({ service }) => service === serviceByKind[call.kind],
        );
        return ![...otherFaultSpans, ...serverFaultSpans].some(
          (span) => span.from < end && span.to > call.startedAt,
        );
      })
      .map((call) => ({
        promise: 'graceful-stop' as const,
        detail: `${call.id} at ${call.vm}: ${call.kind} was cut ${Math.round((call.endedAt ?? record.endedAt) - stop.from)} ms after the signal to stop, ${Math.round((call.endedAt ?? record.endedAt) - (call.sentAt ?? call.startedAt))} ms after it was sent, ${runs.get(call.id)?.length ?? 0} runs, ${call.failure ?? 'no error'}`,
      })),
  ]);

/** Whether a rejected key was withdrawn, or is so new that the VM need not know it yet. */
const isKeyRejected = (call: CallRecord, record: SoakRecord): boolean =>
  call.status === 401 &&
  record.changes.some(
    (change) =>
      change.kind === 'key-withdrawn' &&
      (change.key === call.key ||
        (change.successor === call.key && !mustApplyChange(call, change, record))),
  );

const hasAnswer = (call: CallRecord, record: SoakRecord): boolean =>
  call.isComplete && (call.status === 200 || isRefusal(call) || isKeyRejected(call, record));

/**
 * A call ends with a complete response or a refusal. Changes of the configuration, withdrawn keys,
 * draining, full or silent servers and store outages excuse nothing.
 */
const checkAnswers = (record: SoakRecord): Violation[] => {
  const endlessCalls = listEndlessCalls(record);
  return record.calls
    .filter((call) => {
      // A call that is still open after its timeout violates `final-answer`.
      if (call.endedAt === undefined || hasAnswer(call, record)) return false;
      // Nobody waits for the response of a caller that has left.
      if (call.disconnectedAt !== undefined) return false;
      // Of an answer without an end, a caller gets no more than an honest end.
      if (endlessCalls.has(call.id) && call.status !== undefined) return false;
      // Once its time is up, a call may end without a response.
      if (call.endedAt - call.startedAt >= routeTimeoutMs[call.kind] - timeoutMarginMs)
        return false;
      // A VM that dies takes its connections along; planned stops are checked by checkStops.
      if (overlaps(record.vmFaultSpans.get(call.vm) ?? [], call.startedAt, call.endedAt))
        return false;
      // A VM that is cut off from the store may not know the key; it ends its answers all the same.
      const linkSpans = record.storeLinkSpans.get(call.vm) ?? [];
      if (call.isComplete && overlaps(linkSpans, call.startedAt, call.endedAt)) return false;
      // A backend server whose connections break may have run the request.
      const service = serviceByKind[call.kind];
      const faultSpans = record.serverFaultSpans.filter((span) => span.service === service);
      return !overlaps(faultSpans, call.startedAt, call.endedAt);
    })
    .map((call) => ({
      promise: 'ends-with-answer' as const,
      detail: `${call.id} at ${call.vm}: ${call.kind} ended after ${Math.round((call.endedAt ?? 0) - call.startedAt)} ms with ${call.status ?? 'a closed connection'}, ${call.isComplete ? 'complete' : 'incomplete'}`,
    }));
};

/** A request with a crashing part ends the engine instance that runs it. */
const checkCrashes = (record: SoakRecord): Violation[] =>
  record.crashingParts.flatMap((part) => {
    const runs = record.runs.filter(({ id, isPrefill }) => !isPrefill && id.startsWith(`${part}-`));
    const crashed = new Set(runs.map(({ server }) => server));
    if (crashed.size <= maxCrashesByPart) return [];
    const ids = runs.map(({ id, server }) => `${id} at ${server}`).join(', ');
    return [{ promise: 'bounded-crashes' as const, detail: `${crashed.size} crashes: ${ids}` }];
  });

/** Through VMs in touch, a request that has crashed three servers reaches at most three more times a server. */
const checkCrashingRequests = (record: SoakRecord): Violation[] =>
  record.crashingRequests.flatMap((request) => {
    const calls = record.calls.filter(({ id }) => id.startsWith(`${request}-`));
    const vmByCall = new Map(calls.map(({ id, vm }) => [id, vm]));
    const runs = record.runs.filter(({ id }) => vmByCall.has(id));
    const rejections = record.rejections.filter(({ id }) => vmByCall.has(id));
    const servers = new Set(runs.flatMap((run) => (run.isPrefill ? [] : [run.server])));
    const crashes = record.crashes.filter(({ server }) => servers.has(server));
    const crashTimes = crashes.map(({ at }) => at).sort((a, b) => a - b);
    const lastAllowedCrashAt = crashTimes[maxCrashesByRequest - 1];
    if (lastAllowedCrashAt === undefined) return [];
    const boundAt = lastAllowedCrashAt + timeLimits.contactMs;
    const lateArrivals = [...runs, ...rejections].filter(({ id, arrivedAt }) => {
      const faultSpans = listHindrances(record, vmByCall.get(id) ?? '');
      return (
        arrivedAt > boundAt && !overlaps(faultSpans, arrivedAt - timeLimits.contactMs, arrivedAt)
      );
    });
    if (lateArrivals.length <= maxArrivalsAfterCrashes) return [];
    const list = lateArrivals
      .map(
        ({ id, server, arrivedAt }) =>
          `${id} from ${vmByCall.get(id)} at ${server} at ${Math.round(arrivedAt)} ms`,
      )
      .join(', ');
    return [
      {
        promise: 'bounded-crashes' as const,
        detail: `${request} ended ${crashTimes.length} servers, the third at ${Math.round(lastAllowedCrashAt)} ms, and reached ${lateArrivals.length} times a server after ${Math.round(boundAt)} ms: ${list}`,
      },
    ];
  });

/** All events of a stream come from servers of one version, over all calls that take it up. */
const checkVersions = (record: SoakRecord): Violation[] => {
  const callsByStream = new Map<string, CallRecord[]>();
  record.calls.forEach((call) => {
    const stream = call.takesUp?.call ?? call.id;
    callsByStream.set(stream, [...(callsByStream.get(stream) ?? []), call]);
  });
  return [...callsByStream].flatMap(([stream, calls]) => {
    const [change] = explainVersionChanges(calls);
    if (change === undefined) return [];
    const tries = calls.map(({ id, vm }) => `${id} at ${vm}`).join(', ');
    return [{ promise: 'one-version' as const, detail: `${stream}, ${tries}: ${change}` }];
  });
};

/**
 * From the time in which VMs get in touch after it first names its limit, a server gets in any window no more
 * than half as much again and a few requests, all VMs together; those with a fault lately don't count.
 */
const checkLimits = (record: SoakRecord): Violation[] => {
  const vmByCall = new Map(record.calls.map(({ id, vm }) => [id, vm]));
  return record.limitSpans.flatMap(({ service, server, requestsPerS, from, to }) => {
    // What waited on a broken connection arrives together later.
    const faultSpans = record.serverFaultSpans.filter((span) => span.service === service);
    if (overlaps(faultSpans, from, to)) return [];
    const arrivals = [...record.runs, ...record.rejections]
      .filter((run) => run.server === server && run.arrivedAt <= to)
      .filter(({ arrivedAt }) => arrivedAt >= from + timeLimits.contactMs)
      .filter(({ id, arrivedAt }) => {
        const vmFaultSpans = listHindrances(record, vmByCall.get(id) ?? '');
        return !overlaps(vmFaultSpans, arrivedAt - timeLimits.contactMs, arrivedAt);
      })
      .map(({ arrivedAt }) => arrivedAt);
    const most = Math.max(
      0,
      ...arrivals.map(
        (first) => arrivals.filter((at) => at >= first && at < first + limitWindowMs).length,
      ),
    );
    const allowed = requestsPerS * (limitWindowMs / 1_000) * limitFactor + limitSlack;
    if (most <= allowed) return [];
    const detail = `${server} named a limit of ${requestsPerS} a second from ${Math.round(from)} to ${Math.round(to)} ms and got ${most} requests in a window`;
    return [{ promise: 'keeps-limit' as const, detail }];
  });
};

const checkRecovery = (record: SoakRecord): Violation[] => {
  const callsAfterRecovery = record.calls.filter(
    (call) =>
      call.startedAt > record.faultsEndedAt + timeLimits.recoveryMs &&
      call.disconnectedAt === undefined,
  );
  const withdrawnKeys = new Set(
    record.changes.flatMap((change) => (change.kind === 'key-withdrawn' ? [change.key] : [])),
  );
  const eligibleCalls = callsAfterRecovery.filter(
    (call) => call.endedAt !== undefined && !withdrawnKeys.has(call.key),
  );
  const servedCount = eligibleCalls.filter((call) => call.status === 200 && call.isComplete).length;
  if (eligibleCalls.length < 10 || servedCount >= eligibleCalls.length * minServedShare) return [];
  return [
    { promise: 'recovers', detail: `${servedCount} of ${eligibleCalls.length} served at the end` },
  ];
};

/**
 * Checks the guarantees of docs/GUARANTEES.md against the records of callers and backend servers.
 *
 * @param eventCount - number of events in a complete stream
 * @example
 * checkPromises(record, 20).length; // 0
 */
export const checkPromises = (record: SoakRecord, eventCount: number): Violation[] => {
  const runs = groupRunsById(record.runs);
  const endlessCalls = listEndlessCalls(record);
  return [
    ...record.calls.flatMap((call) => checkCall(call, runs.get(call.id) ?? [], record, eventCount)),
    ...checkChanges(record, runs),
    ...checkStops(record, runs),
    ...checkExits(record),
    ...checkMemory(record),
    ...checkReadiness(record),
    ...checkAnswers(record),
    ...checkCrashes(record),
    ...checkCrashingRequests(record),
    ...checkLimits(record),
    ...checkVersions(record),
    // The events of a server that answers without an end have no order; checkCall sees whether they look complete.
    ...checkEventOrder(
      record.calls.filter(({ id }) => !endlessCalls.has(id)),
      eventCount,
    ).map((detail) => ({
      promise: 'event-order' as const,
      detail,
    })),
    ...checkRecovery(record),
  ];
};
