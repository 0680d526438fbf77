/** Splits a stream of server-sent events into complete events. */
export interface EventSplitter {
  /** Adds bytes and returns the events completed by them, if any. */
  readonly push: (chunk: Buffer) => Buffer | undefined;
  /** Id of the last complete event. */
  readonly getLastId: () => string | undefined;
  /** Whether bytes of an incomplete event are buffered. */
  readonly hasIncompleteEvent: () => boolean;
}

const newline = 0x0a;

/** Returns the position after the last empty line, or 0. */
const findEventsEnd = (data: Buffer): number => {
  for (let index = data.length - 1; index > 0; index -= 1) {
    if (data[index] !== newline) continue;
    if (data[index - 1] === newline) return index + 1;
    if (data[index - 1] === 0x0d && data[index - 2] === newline) return index + 1;
  }
  return 0;
};

const readLastId = (events: Buffer): string | undefined => {
  const text = events.toString('latin1');
  const fieldStart = Math.max(text.lastIndexOf('\nid:'), text.startsWith('id:') ? 0 : -1);
  if (fieldStart < 0) return undefined;
  const valueStart = text.indexOf(':', fieldStart) + 1;
  const end = text.indexOf('\n', valueStart);
  return text.slice(valueStart, end < 0 ? undefined : end).trim();
};

/**
 * Makes a splitter; an incomplete event is never forwarded.
 *
 * @example
 * makeEventSplitter().push(Buffer.from('id: 1\ndata: a\n\nid: 2\n'))?.toString(); // 'id: 1\ndata: a\n\n'
 */
export const makeEventSplitter = (): EventSplitter => {
  let remainder: Buffer = Buffer.alloc(0);
  let lastId: string | undefined;
  return {
    push: (chunk) => {
      const data = remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk]);
      const end = findEventsEnd(data);
      remainder = data.subarray(end);
      if (end === 0) return undefined;
      const events = data.subarray(0, end);
      lastId = readLastId(events) ?? lastId;
      return events;
    },
    getLastId: () => lastId,
    hasIncompleteEvent: () => remainder.length > 0,
  };
};
