/** How an event breaks the order of its stream. */
export type OrderBreak =
  /** Its id is that of the event before it. */
  | 'repeated'
  /** Its id is below that of an event before it. */
  | 'back'
  /** Events are missing before it: it is the first one of a run that goes on. */
  | 'gap';

/** An event that breaks the order of its stream. */
export interface OrderFault {
  readonly kind: OrderBreak;
  readonly id: number;
  /** Id of the last event that was passed on. */
  readonly after: number;
}

/** Which of a batch of events continue their stream. */
export interface OrderedEvents {
  /** Number of bytes of the events that do, up to the first one that does not. */
  readonly bytes: number;
  /** The first event that does not. */
  readonly fault: OrderFault | undefined;
  /** Number of those that do and have a field; comments and empty lines have none. */
  readonly events: number;
  /** Number of bytes behind the last one of them. */
  readonly silentBytes: number;
}

/** Orders the events of one run of a stream, behind those of the runs before it. */
export interface RunOrder {
  /** Adds complete events, each with the empty line that ends it; those in order count as passed on. */
  readonly accept: (events: Buffer) => OrderedEvents;
  /** Id of the first event of this run that was passed on and had one. */
  readonly getFirstId: () => string | undefined;
  /** Id of the last event of this run that was passed on and had one. */
  readonly getLastId: () => string | undefined;
}

/** Keeps the events of a stream in order, over all its runs. */
export interface EventOrder {
  /** Starts a run, which must go on after the last event that any run has passed on. */
  readonly startRun: () => RunOrder;
}

/** Steps between the ids of a stream so far. */
type Step = 'unknown' | 'one' | 'other';

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;
const space = 0x20;
const zero = 0x30;
const nine = 0x39;

/** Field that holds the id of an event. */
const idField = Buffer.from('id:');

/** Longest id that is read as a number; longer ones may not be exact. */
const maxDigits = 15;

const hasIdField = (events: Buffer, lineStart: number): boolean =>
  events[lineStart] === idField[0] &&
  events[lineStart + 1] === idField[1] &&
  events[lineStart + 2] === idField[2];

/** Reads a whole number between two positions; undefined if there is something else. */
const readNumber = (events: Buffer, start: number, end: number): number | undefined => {
  let from = start;
  let to = end;
  while (from < to && events[from] === space) from += 1;
  while (from < to && events[to - 1] === space) to -= 1;
  if (from === to || to - from > maxDigits) return undefined;
  let value = 0;
  for (let index = from; index < to; index += 1) {
    const byte = events[index] ?? 0;
    if (byte < zero || byte > nine) return undefined;
    value = value * 10 + byte - zero;
  }
  return value;
};

/**
 * Makes the order of a stream. Ids that are whole numbers must rise, over runs as well as within one. Where they
 * have risen by one each, the first event of a run that goes on must be the next one. Events with other ids, or
 * none, are in order anywhere.
 *
 * @param resumedAfter - id of the event after which a caller takes the stream up
 * @example
 * makeEventOrder().startRun().accept(Buffer.from('id: 2\n\nid: 1\n\n'));
 * // { bytes: 7, fault: { kind: 'back', id: 1, after: 2 }, events: 1, silentBytes: 0 }
 */
export const makeEventOrder = (resumedAfter?: string): EventOrder => {
  let last =
    resumedAfter === undefined
      ? undefined
      : readNumber(Buffer.from(resumedAfter, 'latin1'), 0, resumedAfter.length);
  let step: Step = 'unknown';

  /** Records the number of an event; returns how it breaks the order, if it does. */
  const record = (id: number, isFirstOfRun: boolean): OrderFault | undefined => {
    if (last !== undefined) {
      if (id === last) return { kind: 'repeated', id, after: last };
      if (id < last) return { kind: 'back', id, after: last };
      const isNext = id === last + 1;
      if (isFirstOfRun && step === 'one' && !isNext) return { kind: 'gap', id, after: last };
      if (!isNext) step = 'other';
      else if (step === 'unknown') step = 'one';
    }
    last = id;
    return undefined;
  };

  return {
    startRun: () => {
      let isFirst = true;
      let firstId: string | undefined;
      let lastId: string | undefined;
      return {
        accept: (events) => {
          let bytes = 0;
          let lineStart = 0;
          /** Where the id of the event is that is being read; -1 if it has none so far. */
          let idStart = -1;
          let idEnd = -1;
          /** Where the last id is that was passed on. */
          let lastStart = -1;
          let lastEnd = -1;
          let hasField = false;
          let count = 0;
          let silentFrom = 0;
          const readId = (start: number, end: number): string =>
            events.toString('latin1', start, end).trim();
          /** Ends the event that is being read; returns how it breaks the order, if it does. */
          const endEvent = (): OrderFault | undefined => {
            if (idStart < 0) return undefined;
            const number = readNumber(events, idStart, idEnd);
            const fault = number === undefined ? undefined : record(number, isFirst);
            if (fault) return fault;
            if (number !== undefined) isFirst = false;
            firstId ??= readId(idStart, idEnd);
            lastStart = idStart;
            lastEnd = idEnd;
            idStart = -1;
            return undefined;
          };
          let fault: OrderFault | undefined;
          while (lineStart < events.length && !fault) {
            const lineFeedAt = events.indexOf(lineFeed, lineStart);
            const next = lineFeedAt < 0 ? events.length : lineFeedAt + 1;
            let lineEnd = lineFeedAt < 0 ? events.length : lineFeedAt;
            if (lineEnd > lineStart && events[lineEnd - 1] === carriageReturn) lineEnd -= 1;
            if (lineEnd === lineStart) {
              fault = endEvent();
              if (!fault) bytes = next;
              if (hasField && !fault) {
                count += 1;
                silentFrom = next;
              }
              hasField = false;
            } else {
              hasField ||= events[lineStart] !== colon;
              if (hasIdField(events, lineStart)) {
                idStart = lineStart + idField.length;
                idEnd = lineEnd;
              }
            }
            lineStart = next;
          }
          if (lastStart >= 0) lastId = readId(lastStart, lastEnd);
          return { bytes, fault, events: count, silentBytes: bytes - silentFrom };
        },
        getFirstId: () => firstId,
        getLastId: () => lastId,
      };
    },
  };
};

/**
 * Describes a fault for a log line.
 *
 * @example
 * describeOrderFault({ kind: 'gap', id: 9, after: 4 }); // 'events are missing between 4 and 9'
 */
export const describeOrderFault = ({ kind, id, after }: OrderFault): string => {
  if (kind === 'repeated') return `event ${id} came twice`;
  if (kind === 'back') return `event ${id} came after event ${after}`;
  return `events are missing between ${after} and ${id}`;
};
