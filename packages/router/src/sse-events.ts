/** Splits a stream of server-sent events into complete events. */
export interface EventSplitter {
  /** Adds bytes and returns the events completed by them, if any. */
  readonly push: (chunk: Buffer) => Buffer | undefined;
  /** Whether bytes of an incomplete event are buffered. */
  readonly hasIncompleteEvent: () => boolean;
  /** Whether the incomplete event is larger than `maxEventBytes`; nothing may be added then. */
  readonly hasOversizedEvent: () => boolean;
}

/** Maximum size of an incomplete event. */
export const maxEventBytes = 256 * 1_024;

const initialBufferBytes = 1_024;

/** Bytes that events may hold beyond twice their size, as a part of something larger. */
const maxSharedBytes = 256;

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

/** Copies events that are a small part of what they would hold until their caller has read them. */
const releaseRest = (events: Buffer): Buffer => {
  if (events.buffer.byteLength <= 2 * events.length + maxSharedBytes) return events;
  // A slice of the shared pool would keep all of it in memory.
  const copy = Buffer.allocUnsafeSlow(events.length);
  events.copy(copy);
  return copy;
};

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
      const passed = data.subarray(0, end);
      const events = releaseRest(passed);
      const rest = data.subarray(end);
      // A buffer whose events are passed on without a copy is not used again.
      if (events === passed) buffer = Buffer.alloc(0);
      bufferedBytes = 0;
      append(rest);
      return events;
    },
    hasIncompleteEvent: () => bufferedBytes > 0,
    hasOversizedEvent: () => bufferedBytes > maxEventBytes,
  };
};
