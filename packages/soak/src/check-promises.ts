import type { BindingChange, CallRecord, RunRecord, SoakRecord, Span } from './records.js';

/** Bounds of the promises, in milliseconds; docs/GUARANTEES.md states them. */
const bounds = {
  /** A withdrawn key, a leaving server: in force after the acknowledgement. */
  changeMs: 2_000,
  /** Trouble of the store or of a VM this long before excuses a late change. */
  contactMs: 3_000,
  /** A run ends after its caller has left. */
  leftMs: 500,
  /** A final answer after the caller's wait. */
  answerMs: 500,
  /** The fleet serves again after the last fault. */
  recoveryMs: 12_000,
};

/** Time that the machine of a soak, which is shared, may add to each bound. */
const machineSlackMs = 1_000;

/** Share of the requests that must be served once the fleet has recovered. */
const servedShare = 0.9;

/** A broken promise. */
export interface Violation {
  readonly promise:
    | 'runs-once'
    | 'true-refusal'
    | 'own-answer'
    | 'workspace-only'
    | 'change-in-force'
    | 'ends-with-caller'
    | 'final-answer'
    | 'graceful-stop'
    | 'recovers';
  readonly detail: string;
}

/** How long a caller waits for its answer, by kind. */
export const waitMs = { stream: 6_000, confirm: 2_000, read: 2_000 } as const;

const touches = (spans: readonly Span[], from: number, to: number): boolean =>
  spans.some((span) => span.from < to && span.to > from);

const groupRuns = (runs: readonly RunRecord[]): Map<string, RunRecord[]> => {
  const byId = new Map<string, RunRecord[]>();
  runs
    .filter((run) => !run.isPrefill)
    .forEach((run) => byId.set(run.id, [...(byId.get(run.id) ?? []), run]));
  return byId;
};

const isRefusal = (call: CallRecord): boolean => call.status === 429 || call.status === 503;

/** A stream's answer holds each of its events once, in order, all of its own request. */
const isOwnStream = (call: CallRecord): boolean => {
  const events = [...call.body.matchAll(/id: (\d+)\ndata: (\S+) e(\d+)\n\n/g)];
  const isInOrder = events.every(([, number, id, event], at) => {
    const expected = String(at + 1);
    return number === expected && event === expected && id === call.id;
  });
  return isInOrder && events.map(([text]) => text).join('') === call.body;
};

const isOwnAnswer = (call: CallRecord, events: number): boolean => {
  if (call.kind !== 'stream') return call.body === `ok ${call.id}`;
  return isOwnStream(call) && call.body.includes(`id: ${events}\n`);
};

const checkCall = (
  call: CallRecord,
  runs: readonly RunRecord[],
  record: SoakRecord,
  events: number,
): Violation[] => {
  const found: Violation[] = [];
  const report = (promise: Violation['promise'], detail: string): void => {
    found.push({ promise, detail: `${call.id} at ${call.vm}: ${detail}` });
  };
  if (call.kind === 'confirm' && runs.length > 1) report('runs-once', `${runs.length} runs`);
  if (isRefusal(call) && call.kind === 'confirm' && runs.length > 0)
    report('true-refusal', `refused with ${call.status} and run by ${runs[0]?.server}`);
  if (call.status === 200 && call.isWhole && !isOwnAnswer(call, events))
    report('own-answer', `body ${JSON.stringify(call.body.slice(0, 80))}`);
  if (call.kind === 'stream' && call.status === 200 && !isOwnStream({ ...call, body: whole(call) }))
    report('own-answer', `events ${JSON.stringify(call.body.slice(0, 120))}`);
  runs.forEach((run) => {
    if (run.hasKey) report('workspace-only', `${run.server} saw the key`);
    if (run.workspace !== 'forge') report('workspace-only', `run for ${run.workspace}`);
  });
  const due = call.startedAt + waitMs[call.kind] + bounds.answerMs + machineSlackMs;
  const isVmSound = !touches(record.vmTroubles.get(call.vm) ?? [], call.startedAt, due);
  if (isVmSound && (call.endedAt ?? record.endedAt) > due)
    report('final-answer', `no end ${Math.round((call.endedAt ?? record.endedAt) - due)} ms late`);
  if (call.leftAt !== undefined && isVmSound) {
    const latest = call.leftAt + bounds.leftMs + machineSlackMs;
    if (touches(record.serverTroubles, call.startedAt, latest)) return found;
    runs
      .filter((run) => (run.endedAt ?? record.endedAt) > latest)
      .forEach((run) => report('ends-with-caller', `${run.server} still at work`));
  }
  return found;
};

/** The whole events of an answer that may have broken off. */
const whole = (call: CallRecord): string => {
  const end = call.body.lastIndexOf('\n\n');
  return end < 0 ? '' : call.body.slice(0, end + 2);
};

/** A change must be in force unless the store or the VM was in trouble shortly before. */
const isBound = (call: CallRecord, change: BindingChange, record: SoakRecord): boolean => {
  const since = change.at - bounds.contactMs;
  if (call.startedAt < change.at + bounds.changeMs + machineSlackMs) return false;
  if (touches(record.storeOutages, since, call.startedAt)) return false;
  const troubles = record.vmTroubles.get(call.vm) ?? [];
  return !touches(troubles, call.startedAt - bounds.contactMs, call.startedAt);
};

const checkChanges = (record: SoakRecord, runs: Map<string, RunRecord[]>): Violation[] =>
  record.changes.flatMap((change) =>
    record.calls
      .filter((call) => isBound(call, change, record))
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

/** A stop with nothing else amiss cuts no request that was sent before it or soon after. */
const checkStops = (record: SoakRecord): Violation[] =>
  record.stops.flatMap((stop) =>
    record.calls
      .filter((call) => {
        const end = call.endedAt ?? record.endedAt;
        const crosses = call.vm === stop.vm && call.startedAt < stop.to && end > stop.from;
        const isCut = call.status === undefined || (call.status === 200 && !call.isWhole);
        if (!crosses || call.leftAt !== undefined || !isCut) return false;
        // A connection that crosses the close of the listener was never read.
        if (call.startedAt > stop.from + 1_000) return false;
        const others = record.vmTroubles.get(call.vm) ?? [];
        const isElse = others.some((span) => span.from !== stop.from && span.to > call.startedAt);
        return !isElse && !touches(record.serverTroubles, call.startedAt, end);
      })
      .map((call) => ({
        promise: 'graceful-stop' as const,
        detail: `${call.id} at ${call.vm} was cut by a stop`,
      })),
  );

const checkRecovery = (record: SoakRecord): Violation[] => {
  const late = record.calls.filter(
    (call) => call.startedAt > record.calmFrom + bounds.recoveryMs && call.leftAt === undefined,
  );
  const withdrawn = new Set(
    record.changes.flatMap((change) => (change.kind === 'key-withdrawn' ? [change.key] : [])),
  );
  const owed = late.filter((call) => call.endedAt !== undefined && !withdrawn.has(call.key));
  const served = owed.filter((call) => call.status === 200 && call.isWhole).length;
  if (owed.length < 10 || served >= owed.length * servedShare) return [];
  return [{ promise: 'recovers', detail: `${served} of ${owed.length} served at the end` }];
};

/**
 * Checks the promises of docs/GUARANTEES.md on what callers and backend servers saw.
 *
 * @param events - events of a whole stream
 * @example
 * checkPromises(record, 20).length; // 0
 */
export const checkPromises = (record: SoakRecord, events: number): Violation[] => {
  const runs = groupRuns(record.runs);
  return [
    ...record.calls.flatMap((call) => checkCall(call, runs.get(call.id) ?? [], record, events)),
    ...checkChanges(record, runs),
    ...checkStops(record),
    ...checkRecovery(record),
  ];
};
