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

/** Checks a line by hand, as it comes once for each token. */
const readLine = (text: string): TokenLine | EndLine | undefined => {
  let value: Partial<TokenLine & EndLine> | null;
  try {
    value = JSON.parse(text) as Partial<TokenLine & EndLine> | null;
  } catch {
    return undefined;
  }
  const { i, text: token, done, tokens, reason } = value ?? {};
  if (typeof i === 'number' && typeof token === 'string') return { i, text: token };
  const isEnd = done === true && typeof tokens === 'number' && typeof reason === 'string';
  return isEnd ? { done, tokens, reason } : undefined;
};

/** How a token stream ended as a whole. */
export interface StreamEnd {
  readonly tokens: number;
  readonly reason: string;
}

/** Why a token stream is not whole. */
export type StreamFault = 'cut' | 'stalled' | 'out-of-order' | 'bad-line' | 'aborted';

/** Where a stream's tokens go. */
export type OnToken = (index: number, text: string) => void;

interface Progress {
  next: number;
  end: StreamEnd | undefined;
  fault: StreamFault | undefined;
}

const takeLine = (line: string, progress: Progress, onToken: OnToken): void => {
  const parsed = readLine(line);
  if (!parsed || progress.end) {
    progress.fault = 'bad-line';
  } else if ('done' in parsed) {
    progress.end = parsed;
    // A stream that ends with fewer tokens than it counted is not whole.
    if (parsed.tokens !== progress.next) progress.fault = 'out-of-order';
  } else if (parsed.i !== progress.next) {
    progress.fault = 'out-of-order';
  } else {
    progress.next += 1;
    onToken(parsed.i, parsed.text);
  }
};

/**
 * Reads a stream of tokens, a line of JSON each, and checks that none is missing, doubled
 * or out of order.
 *
 * @param from - index of the first token expected
 * @param stallMs - longest silence between two tokens
 */
export const readTokens = (
  body: Readable,
  from: number,
  stallMs: number,
  signal: AbortSignal,
  onToken: OnToken,
): Promise<Result<StreamEnd, StreamFault>> =>
  new Promise((resolve) => {
    const progress: Progress = { next: from, end: undefined, fault: undefined };
    let pending = '';
    let settled = false;
    let lastAt = performance.now();

    const settle = (result: Result<StreamEnd, StreamFault>): void => {
      if (settled) return;
      settled = true;
      clearInterval(stallTimer);
      signal.removeEventListener('abort', onAbort);
      if (!body.destroyed) body.destroy();
      resolve(result);
    };
    const onAbort = (): void => settle(err('aborted'));
    const stallTimer = setInterval(() => {
      if (performance.now() - lastAt > stallMs) settle(err('stalled'));
    }, stallMs / 4);
    const endWith = (): void => {
      if (progress.fault) settle(err(progress.fault));
      else if (progress.end) settle(ok(progress.end));
    };

    body.setEncoding('utf8');
    body.on('data', (chunk: string) => {
      lastAt = performance.now();
      const lines = (pending + chunk).split('\n');
      pending = lines.pop() ?? '';
      for (const line of lines) {
        if (!progress.fault && line !== '') takeLine(line, progress, onToken);
      }
      endWith();
    });
    body.on('end', () => settle(err('cut')));
    body.on('error', () => settle(err('cut')));
    body.on('close', () => settle(err('cut')));
    signal.addEventListener('abort', onAbort);
    if (signal.aborted) onAbort();
  });
