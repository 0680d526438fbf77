import { createHash } from 'node:crypto';
import type { DecodeStart } from '@hemlocksill/types/engine-protocol.js';
import type { StreamLine } from './engine-types.js';

const defaultTokenCount = 64;

/** A stream, which occupies a slot until it is completely delivered or cancelled. */
export interface DecodeStream {
  readonly start: DecodeStart;
  readonly acceptedAt: number;
  readonly digest: string;
  /** Number of tokens after which the model stops, unless `maxTokens` ends the stream earlier. */
  readonly modelTokenCount: number;
  owner: string;
  producedTokens: number;
  /** Whether the key-value cache of the prompt has been imported; decoding starts then. */
  isCacheImported: boolean;
  writeLine: ((line: StreamLine) => void) | undefined;
  /** Closes the connection of the current response, if there is one. */
  disconnect: (() => void) | undefined;
  sentTokens: number;
  isFinished: boolean;
}

interface BatchOptions {
  readonly slots: number;
  readonly tokenMs: number;
  readonly tokenMsPerStream: number;
  readonly getSlowdown: () => number;
}

/** Digest that each token contains, so that a response can be matched to its prompt. */
export const digestPrompt = (prompt: string): string =>
  createHash('sha256').update(prompt).digest('hex').slice(0, 8);

/** Text of token `i` of a response; callers recompute it to verify the response. */
export const formatToken = (digest: string, i: number): string => `${digest}.${i} `;

/** Length of the response that a prompt requests by beginning with `tokens=N`. */
export const parseTokenCount = (prompt: string): number =>
  Number(/^tokens=(\d+)/.exec(prompt)?.[1] ?? defaultTokenCount);

/** Simulates a continuous batch, in which each step decodes one token of every active stream. */
export const makeDecodeBatch = (opts: BatchOptions) => {
  const streams = new Map<string, DecodeStream>();
  let isStopped = false;

  const getOutputLength = (stream: DecodeStream): number =>
    Math.min(stream.start.maxTokens, stream.modelTokenCount);

  const flush = (stream: DecodeStream): void => {
    const { writeLine, start } = stream;
    if (!writeLine) return;
    while (stream.sentTokens < stream.producedTokens) {
      writeLine({ i: stream.sentTokens, text: formatToken(stream.digest, stream.sentTokens) });
      stream.sentTokens += 1;
    }
    if (!stream.isFinished) return;
    const reason = stream.modelTokenCount <= start.maxTokens ? 'stop' : 'length';
    streams.delete(start.id);
    writeLine({ done: true, tokens: stream.producedTokens, reason });
  };

  const step = (): void => {
    if (isStopped) return;
    const active = [...streams.values()].filter((s) => s.isCacheImported && !s.isFinished);
    active.forEach((stream) => {
      stream.producedTokens += 1;
      stream.isFinished = stream.producedTokens >= getOutputLength(stream);
      flush(stream);
    });
    const stepMs = opts.tokenMs + opts.tokenMsPerStream * Math.max(0, active.length - 1);
    setTimeout(step, stepMs * opts.getSlowdown());
  };
  step();

  return {
    streams,
    hasFreeSlot: (): boolean => streams.size < opts.slots,
    reserve: (start: DecodeStart): DecodeStream => {
      const stream: DecodeStream = {
        start,
        acceptedAt: performance.now(),
        digest: digestPrompt(start.prompt),
        modelTokenCount: parseTokenCount(start.prompt),
        owner: start.owner,
        producedTokens: 0,
        isCacheImported: false,
        writeLine: undefined,
        disconnect: undefined,
        sentTokens: 0,
        isFinished: false,
      };
      streams.set(start.id, stream);
      return stream;
    },
    attachOutput: (
      stream: DecodeStream,
      firstToken: number,
      writeLine: (line: StreamLine) => void,
    ): void => {
      stream.writeLine = writeLine;
      stream.sentTokens = Math.min(firstToken, stream.producedTokens);
      flush(stream);
    },
    cancel: (id: string): boolean => streams.delete(id),
    /** Discards all streams and closes their connections, as a restart of the engine does. */
    dropAll: (): void => {
      streams.forEach((stream) => stream.disconnect?.());
      streams.clear();
    },
    stop: (): void => {
      isStopped = true;
    },
  };
};
