import test from 'ava';
import { injectFault } from './inject-fault.js';
import type { SoakEnvironment } from './start-environment.js';

/** An environment with one VM that ends at once when it gets a signal; each reading of its clock is later. */
const makeEnvironment = () => {
  let clock = 0;
  const signals: string[] = [];
  const process = {
    vm: 'vm-1',
    child: { kill: (signal: string) => signals.push(signal), exitCode: null },
    exited: Promise.resolve(0),
  };
  const vm = { process, faultSpans: [], lateSpans: [], isDown: false };
  const environment = {
    platform: { restartRouter: () => process, isReady: () => Promise.resolve(true) },
    vms: [vm],
    stops: [],
    now: () => {
      clock += 0.25;
      return clock;
    },
  };
  return { environment: environment as unknown as SoakEnvironment, signals };
};

// Guards against stops that no check sees, since each one looks like another fault beside itself.
test('a stop and the fault span of its VM begin at the same time', async (t) => {
  const { environment } = makeEnvironment();
  await injectFault(environment, { kind: 'vm-stop', at: 0, forMs: 0, vm: 0 });
  const pause = { beside: 'pause', pauseAt: 0, pauseMs: 1 } as const;
  await injectFault(environment, { kind: 'vm-restart', at: 0, forMs: 0, vm: 0, ...pause });
  t.deepEqual(
    environment.stops.map(({ from }) => from),
    environment.vms[0]?.faultSpans.map(({ from }) => from),
  );
  t.is(environment.stops.length, 2);
});

test('a late VM goes on, and its pause is no fault that excuses a lost request', async (t) => {
  const { environment, signals } = makeEnvironment();
  await injectFault(environment, { kind: 'vm-late', at: 0, forMs: 1, vm: 0 });
  t.deepEqual(signals, ['SIGSTOP', 'SIGCONT']);
  t.is(environment.vms[0]?.lateSpans.length, 1);
  t.is(environment.vms[0]?.faultSpans.length, 0);
});
