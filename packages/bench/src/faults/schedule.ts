import type { SeededRandom } from '../seeded-random.js';

/** One fault with its start, in milliseconds from the start of the run, and its duration. */
export interface Fault {
  readonly at: number;
  readonly lastsMs: number;
  readonly kind: FaultKind;
  /** Selects the affected VM, engine or service; taken modulo their number. */
  readonly target: number;
}

/** Kinds of faults that a run can inject. */
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

/** Kind of a fault. */
export type FaultKind = (typeof faultKinds)[number];

const meanFaultIntervalMs = 2_000;
const minFaultDurationMs = 500;
const maxFaultDurationMs = 9_000;

/** Faults with a permanent effect, injected at most once in a run. */
const nonRepeatableKinds: readonly FaultKind[] = ['upgrade', 'withdraw-key'];

/** Generates a schedule of faults from a seeded random source; faults may overlap. */
export const assembleSchedule = (
  random: SeededRandom,
  durationMs: number,
  kinds: readonly FaultKind[],
): Fault[] => {
  const faults: Fault[] = [];
  const usedKinds = new Set<FaultKind>();
  for (let at = random.exponential(meanFaultIntervalMs); at < durationMs;) {
    const kind = random.pick(kinds);
    const lastsMs = random.integer(minFaultDurationMs, maxFaultDurationMs);
    const fault = { at, lastsMs, kind, target: random.integer(0, 1_000) };
    if (!nonRepeatableKinds.includes(kind) || !usedKinds.has(kind)) faults.push(fault);
    usedKinds.add(kind);
    at += random.exponential(meanFaultIntervalMs);
  }
  return faults;
};
