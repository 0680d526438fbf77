import type { Readable } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';

interface TokenLine {
  readonly i: number;
  readonly text: string;
}

interface EndLine {
  readonly done: true;
  readonly tokens: number;
  readonly reason: string;
}

/** Maximum length of a line, in UTF-16 code units. */
const maxLineLength = 256 * 1_024;

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
export type StreamFault = 'cut' | 'stalled' | 'out-of-order' | 'bad-line' | 'aborted';

/** Receives the tokens of a stream. */
export type OnToken = (index: number, text: string) => void;

interface StreamProgress {
  nextIndex: number;
  end: StreamEnd | undefined;
  fault: StreamFault | undefined;
}

const processLine = (line: string, progress: StreamProgress, onToken: OnToken): void => {
  const parsed = parseLine(line);
  if (!parsed || progress.end) {
    progress.fault = 'bad-line';
  } else if ('done' in parsed) {
    progress.end = parsed;
    // A stream is incomplete if its end line states a different number of tokens.
    if (parsed.tokens !== progress.nextIndex) progress.fault = 'out-of-order';
  } else if (parsed.i !== progress.nextIndex) {
    progress.fault = 'out-of-order';
  } else {
    progress.nextIndex += 1;
    onToken(parsed.i, parsed.text);
  }
};

/**
 * Reads a stream of tokens, one line of JSON each, and checks that none is missing, duplicated
 * or out of order.
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
): Promise<Result<StreamEnd, StreamFault>> =>
  new Promise((resolve) => {
    const progress: StreamProgress = { nextIndex: firstIndex, end: undefined, fault: undefined };
    let partialLine = '';
    let isSettled = false;
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
      if (performance.now() - lastChunkAt > stallTimeoutMs) settle(err('stalled'));
    }, stallTimeoutMs / 4);
    const settleIfEnded = (): void => {
      if (progress.fault) settle(err(progress.fault));
      else if (progress.end) settle(ok(progress.end));
    };

    body.setEncoding('utf8');
    body.on('data', (chunk: string) => {
      lastChunkAt = performance.now();
      partialLine += chunk;
      if (!chunk.includes('\n')) {
        if (partialLine.length > maxLineLength) settle(err('cut'));
        return;
      }
      const lines = partialLine.split('\n');
      partialLine = lines.pop() ?? '';
      for (const line of lines) {
        if (!progress.fault && line !== '') processLine(line, progress, onToken);
      }
      settleIfEnded();
    });
    body.on('end', () => settle(err('cut')));
    body.on('error', () => settle(err('cut')));
    body.on('close', () => settle(err('cut')));
    signal.addEventListener('abort', onAbort);
    if (signal.aborted) onAbort();
  });
