import { vmMemoryBytes } from '@hemlocksill/platform/fakes/crowd.js';
import type { SoakRecord } from './records.js';
import { overlaps, sumOverlaps } from './spans.js';

/** The load balancer asks once a second; a later answer counts as none. */
const readyTimeoutMs = 1_000;

/** A guarantee that the process of a VM violated. */
export interface VmViolation {
  readonly promise: 'keeps-running' | 'keeps-memory' | 'stays-ready';
  readonly detail: string;
}

/** No process of a VM ends by itself. */
export const checkExits = (record: SoakRecord): VmViolation[] =>
  record.unexpectedExits.map(({ vm, at, how }) => ({
    promise: 'keeps-running' as const,
    detail: `${vm} ended by itself (${how}) at ${Math.round(at)} ms`,
  }));

/** No process of a VM holds more memory than its machine has. */
export const checkMemory = (record: SoakRecord): VmViolation[] =>
  record.memoryPeaks
    .filter(({ bytes }) => bytes > vmMemoryBytes)
    .map(({ vm, at, bytes }) => ({
      promise: 'keeps-memory' as const,
      detail: `${vm} held ${Math.round(bytes / 1_000_000)} MB at ${Math.round(at)} ms`,
    }));

/** A VM that runs answers the load balancer in time; the time in which the soak itself did not run doesn't count. */
export const checkReadiness = (record: SoakRecord): VmViolation[] =>
  record.readyProbes
    .filter(({ vm, at, ms }) => {
      const endedAt = ms === undefined ? record.endedAt : at + ms;
      const lateMs = sumOverlaps(record.callerLateSpans, at, endedAt);
      const faultSpans = [
        ...(record.vmFaultSpans.get(vm) ?? []),
        ...(record.lateSpans.get(vm) ?? []),
      ];
      return endedAt - at - lateMs > readyTimeoutMs && !overlaps(faultSpans, at, endedAt);
    })
    .map(({ vm, at, ms }) => ({
      promise: 'stays-ready' as const,
      detail: `${vm} answered the load balancer after ${ms === undefined ? 'the end of the soak' : `${Math.round(ms)} ms`} at ${Math.round(at)} ms`,
    }));
