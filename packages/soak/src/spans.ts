import type { Span } from './records.js';

/**
 * Whether a time lies in one of the spans, in part.
 *
 * @example
 * overlaps([{ from: 10, to: 20 }], 15, 30); // true
 */
export const overlaps = (spans: readonly Span[], from: number, to: number): boolean =>
  spans.some((span) => span.from < to && span.to > from);

/**
 * Returns how much of a time lies in the spans.
 *
 * @example
 * sumOverlaps([{ from: 10, to: 20 }], 15, 30); // 5
 */
export const sumOverlaps = (spans: readonly Span[], from: number, to: number): number =>
  spans.reduce(
    (sum, span) => sum + Math.max(0, Math.min(span.to, to) - Math.max(span.from, from)),
    0,
  );
