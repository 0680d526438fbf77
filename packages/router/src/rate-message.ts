import type { RateRow } from '@hemlocksill/routing/shared-rates.js';

/** First field of a message about the rates of engines. */
export const ratesTag = 'rates';

/** Rows in one message, so that it fits into a datagram of usual size. */
export const maxRateRows = 24;

/** A message between VMs about the rates of engines. */
export interface RateMessage {
  /** Samples for the VM that averages them, or the averages that it publishes. */
  readonly kind: 'samples' | 'published';
  readonly rows: readonly RateRow[];
}

const isRateRow = (value: unknown): value is RateRow => {
  if (!Array.isArray(value) || value.length !== 3) return false;
  const [instance, kind, rate] = value as unknown[];
  return (
    typeof instance === 'string' &&
    (kind === 'prompt' || kind === 'output') &&
    typeof rate === 'number' &&
    Number.isFinite(rate) &&
    rate > 0
  );
};

/** Encodes a message about the rates of engines. */
export const encodeRateMessage = ({ kind, rows }: RateMessage): Buffer =>
  Buffer.from(JSON.stringify([ratesTag, kind, rows]));

/**
 * Decodes the fields of a message about rates; undefined if they are not valid.
 *
 * @example
 * decodeRateMessage(['rates', 'samples', []]); // { kind: 'samples', rows: [] }
 */
export const decodeRateMessage = ([, kind, rows]: readonly unknown[]): RateMessage | undefined =>
  (kind === 'samples' || kind === 'published') &&
  Array.isArray(rows) &&
  rows.length <= maxRateRows &&
  rows.every(isRateRow)
    ? { kind, rows }
    : undefined;
