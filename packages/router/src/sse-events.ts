/** Splits a stream of server-sent events into complete events. */
export interface EventSplitter {
  /** Adds bytes and returns the events completed by them, if any. */
  readonly push: (chunk: Buffer) => Buffer | undefined;
  /** Id of the first complete event. */
  readonly getFirstId: () => string | undefined;
  /** Id of the last complete event. */
  readonly getLastId: () => string | undefined;
  /** Whether bytes of an incomplete event are buffered. */
  readonly hasIncompleteEvent: () => boolean;
  /** Whether the incomplete event is larger than `maxEventBytes`; nothing may be added then. */
  readonly hasOversizedEvent: () => boolean;
}

/** Maximum size of an incomplete event. */
export const maxEventBytes = 256 * 1_024;

const initialBufferBytes = 1_024;

const newline = 0x0a;

/** Returns the position after the last empty line that ends after `from`, or 0. */
const findEventsEnd = (data: Buffer, from: number): number => {
  for (let index = data.length - 1; index > 0 && index >= from; index -= 1) {
    if (data[index] !== newline) continue;
    if (data[index - 1] === newline) return index + 1;
    if (data[index - 1] === 0x0d && data[index - 2] === newline) return index + 1;
  }
  return 0;
};

/** Reads the value of the id field that starts at a position, or before the line break there. */
const readIdAt = (text: string, fieldStart: number): string | undefined => {
  if (fieldStart < 0) return undefined;
  const valueStart = text.indexOf(':', fieldStart) + 1;
  const end = text.indexOf('\n', valueStart);
  return text.slice(valueStart, end < 0 ? undefined : end).trim();
};

const readFirstId = (text: string): string | undefined =>
  readIdAt(text, text.startsWith('id:') ? 0 : text.indexOf('\nid:'));

const readLastId = (text: string): string | undefined =>
  readIdAt(text, Math.max(text.lastIndexOf('\nid:'), text.startsWith('id:') ? 0 : -1));

/**
 * Makes a splitter; an incomplete event is never forwarded.
 *
 * @example
 * makeEventSplitter().push(Buffer.from('id: 1\ndata: a\n\nid: 2\n'))?.toString(); // 'id: 1\ndata: a\n\n'
 */
export const makeEventSplitter = (): EventSplitter => {
  /** Holds the incomplete event in its first bytes. */
  let buffer: Buffer = Buffer.alloc(0);
  let bufferedBytes = 0;
  let firstId: string | undefined;
  let lastId: string | undefined;

  const append = (chunk: Buffer): void => {
    if (chunk.length === 0) return;
    const neededBytes = bufferedBytes + chunk.length;
    if (neededBytes > buffer.length) {
      const grown = Buffer.allocUnsafe(
        Math.max(neededBytes, 2 * buffer.length, initialBufferBytes),
      );
      buffer.copy(grown, 0, 0, bufferedBytes);
      buffer = grown;
    }
    chunk.copy(buffer, bufferedBytes);
    bufferedBytes = neededBytes;
  };

  return {
    push: (chunk) => {
      const scanFrom = bufferedBytes;
      if (scanFrom > 0) append(chunk);
      const data = scanFrom > 0 ? buffer.subarray(0, bufferedBytes) : chunk;
      const end = findEventsEnd(data, scanFrom);
      if (end === 0) {
        if (scanFrom === 0) append(chunk);
        return undefined;
      }
      const events = data.subarray(0, end);
      // The events are passed on without a copy, so their buffer is not used again.
      buffer = Buffer.alloc(0);
      bufferedBytes = 0;
      append(data.subarray(end));
      const text = events.toString('latin1');
      firstId ??= readFirstId(text);
      lastId = readLastId(text) ?? lastId;
      return events;
    },
    getFirstId: () => firstId,
    getLastId: () => lastId,
    hasIncompleteEvent: () => bufferedBytes > 0,
    hasOversizedEvent: () => bufferedBytes > maxEventBytes,
  };
};
