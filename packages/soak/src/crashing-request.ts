import { setTimeout as sleep } from 'node:timers/promises';
import { listCallerParts, makeCallRecord, sendCall } from './drive-callers.js';
import type { SoakFault } from './generate-faults.js';
import { crashingBodyBytes, type SoakEnvironment } from './start-environment.js';

type CrashingRequestFault = Extract<SoakFault, { readonly kind: 'crashing-request' }>;

/** Interval between two rounds of the request. */
const roundGapMs = 250;

/** Of so many rounds, one sends the request to all VMs at once; the others send it to one VM. */
const roundsPerBurst = 4;

/**
 * Sends the same request, which crashes each server that runs it, to one VM after the other and, from time
 * to time, to all of them at once. A VM that is down closes the connection.
 *
 * @example
 * await sendCrashingRequest(environment, fault);
 */
export const sendCrashingRequest = async (
  environment: SoakEnvironment,
  { vm: firstVm, call: kind, hasSharedParts, forMs }: CrashingRequestFault,
): Promise<void> => {
  const { vms, now, crashingRequests, crashingCalls } = environment;
  const name = `crash${crashingRequests.length + 1}`;
  crashingRequests.push(name);
  const options = {
    parts: hasSharedParts ? listCallerParts(0) : undefined,
    body: `request ${name} `.padEnd(crashingBodyBytes, '.'),
  };
  const endsAt = now() + forMs;
  const pendingCalls: Promise<unknown>[] = [];
  for (let round = 0; now() < endsAt; round += 1) {
    const isBurst = round % roundsPerBurst === roundsPerBurst - 1;
    vms
      .filter((_, n) => isBurst || n === (firstVm + round) % vms.length)
      .forEach(({ process }) => {
        const id = `${name}-${pendingCalls.length}`;
        const record = makeCallRecord(id, process.vm, kind, environment.key, now());
        crashingCalls.push(record);
        pendingCalls.push(sendCall(process, record, now, options));
      });
    await sleep(roundGapMs);
  }
  await Promise.all(pendingCalls);
};
