import type { Readable } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';
import type { ResponseFlow } from '@hemlocksill/types/routing-ports.js';

interface TokenLine {
  readonly i: number;
  readonly text: string;
}

interface EndLine {
  readonly done: true;
  readonly tokens: number;
  readonly reason: string;
}

/** Maximum length of a line, and of empty lines without a token between them, in UTF-16 code units. */
const maxLineLength = 256 * 1_024;

/** Maximum size of a stream for each token that was asked for, in UTF-16 code units; short streams get more. */
const maxLengthPerToken = 1_024;

/** Validates a line without a schema library, because this runs once per token. */
const parseLine = (text: string): TokenLine | EndLine | undefined => {
  let value: Partial<TokenLine & EndLine> | null;
  try {
    value = JSON.parse(text) as Partial<TokenLine & EndLine> | null;
  } catch {
    return undefined;
  }
  const { i, text: tokenText, done, tokens, reason } = value ?? {};
  if (typeof i === 'number' && typeof tokenText === 'string') return { i, text: tokenText };
  const isEnd = done === true && typeof tokens === 'number' && typeof reason === 'string';
  return isEnd ? { done, tokens, reason } : undefined;
};

/** End of a complete token stream. */
export interface StreamEnd {
  readonly tokens: number;
  readonly reason: string;
}

/** Why a token stream is incomplete or invalid. */
export type StreamFault = 'cut' | 'stalled' | 'out-of-order' | 'bad-line' | 'too-long' | 'aborted';

/** Receives the tokens of a stream. */
export type OnToken = (index: number, text: string) => void;

/** What a stream may make this process hold. */
export interface StreamLimits {
  /** Number of tokens that were asked for; unlimited by default. */
  readonly maxTokens?: number;
  /** While it is full, the stream is not read. */
  readonly flow?: ResponseFlow;
}

interface StreamProgress {
  nextIndex: number;
  end: StreamEnd | undefined;
  fault: StreamFault | undefined;
}

const processLine = (
  line: string,
  progress: StreamProgress,
  maxTokens: number,
  onToken: OnToken,
): void => {
  const parsed = parseLine(line);
  if (!parsed || progress.end) {
    progress.fault = 'bad-line';
  } else if ('done' in parsed) {
    progress.end = parsed;
    // A stream is incomplete if its end line states a different number of tokens.
    if (parsed.tokens !== progress.nextIndex) progress.fault = 'out-of-order';
  } else if (parsed.i !== progress.nextIndex) {
    progress.fault = 'out-of-order';
  } else if (parsed.i >= maxTokens) {
    progress.fault = 'too-long';
  } else {
    progress.nextIndex += 1;
    onToken(parsed.i, parsed.text);
  }
};

/**
 * Reads a stream of tokens, one line of JSON each, and checks that none is missing, duplicated
 * or out of order, and none more than were asked for.
 *
 * @param firstIndex - index of the first token expected
 * @param stallTimeoutMs - maximum time without data before the stream is treated as stalled
 */
export const readTokens = (
  body: Readable,
  firstIndex: number,
  stallTimeoutMs: number,
  signal: AbortSignal,
  onToken: OnToken,
  { maxTokens = Number.POSITIVE_INFINITY, flow }: StreamLimits = {},
): Promise<Result<StreamEnd, StreamFault>> =>
  new Promise((resolve) => {
    const progress: StreamProgress = { nextIndex: firstIndex, end: undefined, fault: undefined };
    let partialLine = '';
    let isSettled = false;
    let receivedLength = 0;
    /** Length of what was received since the last token. */
    let silentLength = 0;
    let lastChunkAt = performance.now();

    const settle = (result: Result<StreamEnd, StreamFault>): void => {
      if (isSettled) return;
      isSettled = true;
      clearInterval(stallTimer);
      signal.removeEventListener('abort', onAbort);
      if (!body.destroyed) body.destroy();
      resolve(result);
    };
    const onAbort = (): void => settle(err('aborted'));
    const stallTimer = setInterval(() => {
      if (body.isPaused()) lastChunkAt = performance.now();
      if (performance.now() - lastChunkAt > stallTimeoutMs) settle(err('stalled'));
    }, stallTimeoutMs / 4);
    const pauseIfFull = (): void => {
      if (isSettled || !flow?.isFull()) return;
      body.pause();
      flow.onRoom(() => {
        if (!isSettled) body.resume();
      });
    };
    const settleIfEnded = (): void => {
      if (progress.fault) settle(err(progress.fault));
      else if (progress.end) settle(ok(progress.end));
    };

    body.setEncoding('utf8');
    body.on('data', (chunk: string) => {
      lastChunkAt = performance.now();
      receivedLength += chunk.length;
      silentLength += chunk.length;
      partialLine += chunk;
      if (receivedLength > maxLineLength + maxLengthPerToken * maxTokens)
        progress.fault = 'too-long';
      else if (chunk.includes('\n')) {
        const lines = partialLine.split('\n');
        partialLine = lines.pop() ?? '';
        const { nextIndex } = progress;
        for (const line of lines) {
          if (!progress.fault && line !== '') processLine(line, progress, maxTokens, onToken);
        }
        if (progress.nextIndex > nextIndex) silentLength = partialLine.length;
      }
      if (silentLength > maxLineLength) progress.fault ??= 'cut';
      settleIfEnded();
      pauseIfFull();
    });
    body.on('end', () => settle(err('cut')));
    body.on('error', () => settle(err('cut')));
    body.on('close', () => settle(err('cut')));
    signal.addEventListener('abort', onAbort);
    if (signal.aborted) onAbort();
  });
