import type { SeededRandom } from '../seeded-random.js';

/** One fault with its time and length, in milliseconds from the start of a run. */
export interface Fault {
  readonly at: number;
  readonly lastsMs: number;
  readonly kind: FaultKind;
  /** Index of the VM, engine or service it strikes. */
  readonly target: number;
}

/** Faults that a run can bring about. */
export const faultKinds = [
  'vm-kill',
  'vm-freeze',
  'vm-replace',
  'store-down',
  'store-hang',
  'store-lose-answers',
  'store-lose-watches',
  'store-slow',
  'prefill-freeze',
  'prefill-stall-transfers',
  'prefill-refuse',
  'decode-freeze',
  'decode-cut',
  'decode-lose-cancels',
  'decode-slow',
  'service-lose-answers',
  'service-refuse',
  'upgrade',
  'withdraw-key',
] as const;

/** Name of a fault. */
export type FaultKind = (typeof faultKinds)[number];

const meanPauseMs = 2_000;
const shortestMs = 500;
const longestMs = 9_000;

/** Faults that last, or strike, at most once in a run. */
const onceOnly: readonly FaultKind[] = ['upgrade', 'withdraw-key'];

/** Assembles a seeded schedule of faults; they may overlap. */
export const assembleSchedule = (
  random: SeededRandom,
  lengthMs: number,
  kinds: readonly FaultKind[],
): Fault[] => {
  const faults: Fault[] = [];
  const seen = new Set<FaultKind>();
  for (let at = random.exponential(meanPauseMs); at < lengthMs;) {
    const kind = random.pick(kinds);
    const lastsMs = random.integer(shortestMs, longestMs);
    const fault = { at, lastsMs, kind, target: random.integer(0, 1_000) };
    if (!onceOnly.includes(kind) || !seen.has(kind)) faults.push(fault);
    seen.add(kind);
    at += random.exponential(meanPauseMs);
  }
  return faults;
};
