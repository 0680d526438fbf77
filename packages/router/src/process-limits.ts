import { readFileSync } from 'node:fs';
import { totalmem } from 'node:os';
import { getHeapStatistics } from 'node:v8';
import { Result } from 'neverthrow';

/**
 * Returns the memory that the process may use: the least of the heap's limit, which the start command sets
 * for the VM, the control group's and the machine's.
 */
export const readMemoryLimit = (): number => {
  // Without a control group the number is larger than any machine's.
  const constrained = process.constrainedMemory();
  return Math.min(
    getHeapStatistics().heap_size_limit,
    totalmem(),
    constrained > 0 ? constrained : Number.POSITIVE_INFINITY,
  );
};

/** Returns the limits of the process as Linux shows them; empty where they can't be read. */
export const readProcessLimits = (): string =>
  Result.fromThrowable(() => readFileSync('/proc/self/limits', 'utf8'))().unwrapOr('');
