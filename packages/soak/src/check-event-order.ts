import type { CallRecord } from './records.js';

/** An event as its engine wrote it: its number and the process that wrote it. */
interface StreamEvent {
  readonly id: number;
  readonly number: number;
  readonly version: string | undefined;
  /** Start time of the engine, in Unix milliseconds. */
  readonly startedAt: string | undefined;
}

const eventPattern = /^id: (\d+)\ndata: (?:\S+ )?(?:(v[^\s@]+)(?:@(\d+))? )?e(\d+)$/;

const versionPattern = /data: \S+ (v[^\s@]+)(?:@(\d+))? e(\d+)\n\n/g;

/** Splits a stream into its complete events; undefined for one that can't be read. */
const parseEvents = (body: string): readonly (StreamEvent | undefined)[] =>
  body
    .split('\n\n')
    .slice(0, -1)
    .map((text) => {
      const match = eventPattern.exec(text);
      if (!match) return undefined;
      const [, id, version, startedAt, number] = match;
      return {
        id: Number(id),
        number: Number(number),
        version,
        startedAt,
      };
    });

const showOrigin = ({ version, startedAt }: Pick<StreamEvent, 'version' | 'startedAt'>): string =>
  `${version ?? 'no version'} started at ${startedAt ?? 'an unknown time'}`;

/** Says how an event does not follow the one before; undefined if it does. */
const explainMisplaced = (event: StreamEvent | undefined, last: number): string | undefined => {
  if (!event) return `what follows event ${last} is no event`;
  if (event.id !== event.number) return `event ${event.number} has the id ${event.id}`;
  if (event.number === last + 1) return undefined;
  const origin = `of ${showOrigin(event)}`;
  if (event.number > last)
    return `events ${last + 1} to ${event.number - 1} are missing before event ${event.number} ${origin}`;
  return event.number === last
    ? `event ${last} comes twice, the second ${origin}`
    : `event ${event.number} ${origin} follows event ${last}`;
};

/** The first event of another process than the one before, in a stream that can't be resumed. */
const explainJoin = (body: string): string | undefined => {
  const events = parseEvents(body).flatMap((event) => (event === undefined ? [] : [event]));
  const n = events.findIndex((event, at) => {
    const before = events[at - 1];
    return before !== undefined && showOrigin(event) !== showOrigin(before);
  });
  const [event, before] = [events[n], events[n - 1]];
  if (event === undefined || before === undefined) return undefined;
  return `event ${event.number} of ${showOrigin(event)} follows one of ${showOrigin(before)}, though the stream can't be resumed`;
};

/** The first event of an answer that is out of place, or the missing end of one that looks complete. */
const explainAnswer = (call: CallRecord, eventCount: number): readonly string[] => {
  let last = call.takesUp?.after ?? 0;
  for (const event of parseEvents(call.body)) {
    const reason = explainMisplaced(event, last);
    if (reason !== undefined) return [reason];
    last = event?.number ?? last;
  }
  const joined = call.isResumable === false ? explainJoin(call.body) : undefined;
  if (joined !== undefined) return [joined];
  if (last > eventCount) return [`event ${last} of ${eventCount}`];
  const looksComplete = call.isComplete && call.disconnectedAt === undefined;
  if (!looksComplete) return [];
  if (last < eventCount) return [`looks complete after event ${last} of ${eventCount}`];
  return call.body.endsWith('\n\n') ? [] : ['looks complete, but ends inside an event'];
};

/**
 * Names each change of the software version over the answers of a stream, in the order of its calls.
 *
 * @example
 * explainVersionChanges([call, takeUp]); // ['event 4 of v2 started at 1700 follows one of v1 started at 900']
 */
export const explainVersionChanges = (calls: readonly CallRecord[]): readonly string[] => {
  // An event counts wherever it stands, also behind a part of another one.
  const events = calls.flatMap(({ body }) =>
    [...body.matchAll(versionPattern)].map(([, version, startedAt, number]) => ({
      version,
      startedAt,
      number,
    })),
  );
  return events.flatMap((event, n) => {
    const before = events[n - 1];
    if (before === undefined || before.version === event.version) return [];
    return [`event ${event.number} of ${showOrigin(event)} follows one of ${showOrigin(before)}`];
  });
};

/**
 * Finds the streams with events out of order: one is missing, doubled or lower than the one before, in an answer or
 * over the calls that take the stream up, an answer looks complete before the last event, or one that can't be
 * resumed has events of two processes. Returns what was seen, with the ids and VMs of the calls.
 *
 * @param eventCount - number of events in a complete stream
 * @example
 * checkEventOrder(record.calls, 30).length; // 0
 */
export const checkEventOrder = (
  calls: readonly CallRecord[],
  eventCount: number,
): readonly string[] =>
  calls
    .filter(({ kind, status }) => kind === 'stream' && status === 200)
    .flatMap((call) =>
      explainAnswer(call, eventCount).map((reason) => `${call.id} at ${call.vm}: ${reason}`),
    );
