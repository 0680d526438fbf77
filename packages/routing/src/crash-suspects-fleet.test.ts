import test from 'ava';
import { makeCrashSuspects, type BlockChange, type CrashSuspects } from './crash-suspects.js';
import { isRequestPart, makeRequestPart } from './request-part.js';

const vmCount = 8;
const defaultEngineCount = 28;
const messageLoss = 0.05;
const heartbeatMs = 500;
const tickMs = 100;
const restartMs = 8_000;

/** Rules of the simulated engines and callers. */
interface Scenario {
  readonly seed: number;
  readonly durationMs: number;
  readonly soundPerS: number;
  readonly badPerS: number;
  /** Time of the first bad request, 0 by default. */
  readonly badFromMs?: number;
  readonly engineCount?: number;
  /** Whether all sound requests are the same one. */
  readonly isSoundRepeated?: boolean;
  /** Parts of the n-th bad request, by default different requests with one bad part. */
  readonly listBadParts?: (n: number) => readonly string[];
  /** Time at which some engines end at the same moment, for another reason. */
  readonly lossAt?: number;
  readonly lostEngines?: number;
  /** Share of its streams that the first engine resets. */
  readonly resetShare?: number;
}

interface Outcome {
  /** Arrivals of bad requests at engines later than 3 s after the fifth crash, prefills included. */
  readonly lateArrivals: number;
  readonly crashes: number;
  readonly refusedBad: number;
  readonly refusedSound: number;
  readonly sound: number;
  readonly changes: readonly (BlockChange & { readonly vm: number })[];
  readonly vms: readonly CrashSuspects[];
}

interface Run {
  readonly parts: readonly string[];
  readonly vm: number;
  readonly isSound: boolean;
  hasSurvived: boolean;
}

const makeRandom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) % 4_294_967_296;
    return (state >>> 0) / 4_294_967_296;
  };
};

/** Plays a fleet of VMs before crashing engines on a virtual clock. */
const playFleet = (scenario: Scenario): Outcome => {
  const random = makeRandom(scenario.seed);
  const { engineCount = defaultEngineCount } = scenario;
  const pick = (count: number): number => Math.floor(random() * count);
  const actions: { at: number; run: () => void }[] = [];
  let now = 0;
  const after = (delayMs: number, run: () => void): void => {
    actions.push({ at: now + delayMs, run });
  };
  const changes: (BlockChange & { vm: number })[] = [];
  const vms = Array.from({ length: vmCount }, (_, vm) =>
    makeCrashSuspects(
      (change) => changes.push({ ...change, vm }),
      () => 0.5,
    ),
  );
  const engines = Array.from({ length: engineCount }, () => ({
    instance: 0,
    isUp: true,
    runs: new Set<Run>(),
  }));
  const outcome = { lateArrivals: 0, crashes: 0, refusedBad: 0, refusedSound: 0, sound: 0 };
  let fifthCrashAt = Number.POSITIVE_INFINITY;

  const tellPeers = (vm: number): void => {
    const rows = vms[vm]?.listForPeers(now) ?? [];
    vms.forEach((peer, peerVm) => {
      if (peerVm === vm || random() < messageLoss) return;
      after(1 + random() * 10, () => {
        if (peer.recordPeer(rows, now)) notify(peerVm);
      });
    });
  };
  const notify = (vm: number): void => after(5, () => tellPeers(vm));
  const countArrival = (isSound: boolean): void => {
    if (!isSound && now > fifthCrashAt + 3_000) outcome.lateArrivals += 1;
  };

  const breakRun = (run: Run, instance: string, attempt: number): void => {
    const suspects = vms[run.vm];
    if (run.hasSurvived || !suspects) return;
    const wasSuspect = suspects.isSuspect(run.parts, now);
    if (suspects.recordCrash(run.parts, instance, now)) notify(run.vm);
    if (!wasSuspect && attempt === 1) startRun(run.vm, run.parts, run.isSound, 2);
  };
  const endEngine = (index: number): void => {
    const engine = engines[index];
    if (!engine?.isUp) return;
    engine.isUp = false;
    const { runs } = engine;
    engine.runs = new Set();
    // VMs notice the end of a connection within some milliseconds.
    runs.forEach((run) =>
      after(random() * 8, () => breakRun(run, `e${index}@${engine.instance}`, 1)),
    );
    after(restartMs, () => {
      engine.instance += 1;
      engine.isUp = true;
    });
  };

  const startDecode = (vm: number, parts: readonly string[], isSound: boolean, attempt: number) => {
    const index = pick(engineCount);
    const engine = engines[index];
    const suspects = vms[vm];
    if (!engine?.isUp || !suspects) return;
    countArrival(isSound);
    const run: Run = { parts, vm, isSound, hasSurvived: false };
    const { runs } = engine;
    runs.add(run);
    if (!isSound) {
      after(50 + random() * 60, () => {
        if (!runs.delete(run) || !engine.isUp) return;
        outcome.crashes += 1;
        if (outcome.crashes === 5) fifthCrashAt = now;
        const instance = `e${index}@${engine.instance}`;
        endEngine(index);
        breakRun(run, instance, attempt);
      });
      return;
    }
    if (index === 0 && random() < (scenario.resetShare ?? 0)) {
      after(random() * 400, () => {
        if (runs.delete(run)) breakRun(run, `e0@${engine.instance}`, attempt);
      });
      return;
    }
    after(1_100, () => {
      if (!runs.has(run)) return;
      run.hasSurvived = true;
      if (suspects.recordSurvival(parts, now)) notify(vm);
    });
    after(1_100 + random() * 4_000, () => runs.delete(run));
  };

  const isRefused = (vm: number, parts: readonly string[], isSound: boolean): boolean => {
    if (vms[vm]?.findBlocked(parts, 'r1', now) === undefined) return false;
    if (isSound) outcome.refusedSound += 1;
    else outcome.refusedBad += 1;
    return true;
  };

  const startRun = (
    vm: number,
    parts: readonly string[],
    isSound: boolean,
    attempt: number,
  ): void => {
    if (isRefused(vm, parts, isSound)) return;
    countArrival(isSound);
    after(40 + random() * 120, () => {
      if (!isRefused(vm, parts, isSound)) startDecode(vm, parts, isSound, attempt);
    });
  };

  const arrive = (isSound: boolean, parts: readonly string[]): void => {
    const vm = pick(vmCount);
    if (isSound) outcome.sound += 1;
    vms[vm]?.recordArrival(parts.filter((part) => !isRequestPart(part)));
    startRun(vm, parts, isSound, 1);
  };

  const repeat = (perS: number, run: () => void): void => {
    if (perS === 0) return;
    const schedule = (): void =>
      after((random() * 2_000) / perS, () => {
        run();
        schedule();
      });
    schedule();
  };
  // Of the sound requests two thirds share the first part of the bad ones, with one of 40 others.
  let requestCount = 0;
  const makeUniquePart = (): string => {
    requestCount += 1;
    return makeRequestPart(`r${requestCount}`);
  };
  repeat(scenario.soundPerS, () => {
    const first = random() < 0.67 ? 'shared' : 'elsewhere';
    const request = scenario.isSoundRepeated ? makeRequestPart('sound') : makeUniquePart();
    arrive(true, [first, `sound-${pick(40)}`, request]);
  });
  let badCount = 0;
  after(scenario.badFromMs ?? 0, () =>
    repeat(scenario.badPerS, () => {
      badCount += 1;
      arrive(false, scenario.listBadParts?.(badCount) ?? ['shared', 'bad', makeUniquePart()]);
    }),
  );
  vms.forEach((_, vm) => {
    const beat = (): void => {
      tellPeers(vm);
      after(heartbeatMs, beat);
    };
    after(random() * heartbeatMs, beat);
    const tick = (): void => {
      if (vms[vm]?.tick(now)) notify(vm);
      after(tickMs, tick);
    };
    after(random() * tickMs, tick);
  });
  if (scenario.lossAt !== undefined)
    after(scenario.lossAt, () => {
      for (let index = 0; index < (scenario.lostEngines ?? 0); index += 1) endEngine(index);
    });

  while (now < scenario.durationMs) {
    let next = 0;
    actions.forEach(({ at }, index) => {
      if (at < (actions[next]?.at ?? 0)) next = index;
    });
    const [action] = actions.splice(next, 1);
    if (!action) break;
    now = action.at;
    action.run();
  }
  return { ...outcome, changes, vms };
};

const seeds = [11, 12, 13, 14, 15, 16];

test('a part that crashes engines is kept from all engines of a fleet, sound requests are not', (t) => {
  seeds.forEach((seed) => {
    const outcome = playFleet({ seed, durationMs: 40_000, soundPerS: 40, badPerS: 2.5 });
    const blocked = new Set(outcome.changes.map(({ part }) => part));
    t.deepEqual([...blocked], ['bad'], `seed ${seed}`);
    t.true(outcome.lateArrivals <= 3, `seed ${seed}: ${outcome.lateArrivals} late arrivals`);
    t.true(outcome.crashes <= 8, `seed ${seed}: ${outcome.crashes} crashes`);
    t.true(outcome.refusedBad > 60, `seed ${seed}: ${outcome.refusedBad} bad requests refused`);
    t.is(outcome.refusedSound, 0, `seed ${seed}`);
    const later = makeCrashSuspects(
      () => {},
      () => 0.5,
    );
    later.recordPeer(outcome.vms[0]?.listForPeers(40_000) ?? [], 40_000);
    t.is(later.findBlocked(['shared', 'bad'], 'r1', 40_000), 'bad');
  });
});

test('bad requests without sound ones beside them are kept from all engines, too', (t) => {
  seeds.forEach((seed) => {
    const outcome = playFleet({ seed, durationMs: 20_000, soundPerS: 0, badPerS: 2.5 });
    t.true(outcome.lateArrivals <= 3, `seed ${seed}: ${outcome.lateArrivals} late arrivals`);
    outcome.vms.forEach((vm) => t.is(vm.findBlocked(['shared', 'x'], 'r1', 20_000), undefined));
  });
});

test('a request that crashes servers is kept from all of a fleet, sound ones with its parts are not', (t) => {
  const bad = makeRequestPart('bad');
  [['shared', 'sound-7', bad], [bad]].forEach((parts) =>
    seeds.forEach((seed) => {
      const base = { seed, durationMs: 40_000, soundPerS: 40, badPerS: 2.5 };
      const outcome = playFleet({ ...base, listBadParts: () => parts });
      const blocked = new Set(outcome.changes.map(({ part }) => part));
      t.deepEqual([...blocked], [bad], `seed ${seed}`);
      t.true(outcome.lateArrivals <= 3, `seed ${seed}: ${outcome.lateArrivals} late arrivals`);
      t.true(outcome.crashes <= 5, `seed ${seed}: ${outcome.crashes} crashes`);
      t.is(outcome.refusedSound, 0, `seed ${seed}`);
    }),
  );
});

test('a sound request that comes often is not blocked with the one that crashes all engines', (t) => {
  seeds.forEach((seed) => {
    const listBadParts = () => [makeRequestPart('bad')];
    const base = { seed, durationMs: 40_000, soundPerS: 20, badPerS: 2.5, engineCount: 3 };
    const sound = { isSoundRepeated: true, badFromMs: 5_000 };
    const outcome = playFleet({ ...base, ...sound, listBadParts });
    t.is(outcome.refusedSound, 0, `seed ${seed}`);
    t.true(outcome.lateArrivals <= 3, `seed ${seed}: ${outcome.lateArrivals} late arrivals`);
  });
});

test('a part that crashes engines is found also if each request with it comes again', (t) => {
  seeds.forEach((seed) => {
    const listBadParts = (n: number) => ['shared', 'bad', makeRequestPart(`b${Math.ceil(n / 4)}`)];
    const base = { seed, durationMs: 40_000, soundPerS: 40, badPerS: 2.5 };
    const outcome = playFleet({ ...base, listBadParts });
    t.true(
      outcome.changes.some(({ part }) => part === 'bad'),
      `seed ${seed}`,
    );
    t.false(
      outcome.changes.some(({ part }) => part === 'shared'),
      `seed ${seed}`,
    );
    t.true(outcome.lateArrivals <= 3, `seed ${seed}: ${outcome.lateArrivals} late arrivals`);
    t.is(outcome.refusedSound, 0, `seed ${seed}`);
  });
});

test('an engine that resets two in five of its streams blocks nothing', (t) => {
  seeds.forEach((seed) => {
    const base = { seed, durationMs: 60_000, soundPerS: 40, badPerS: 0 };
    t.deepEqual(playFleet({ ...base, resetShare: 0.4 }).changes, [], `seed ${seed}`);
  });
});

test('engines that end together, with all their streams, block nothing', (t) => {
  seeds.forEach((seed) => {
    const base = { seed, durationMs: 20_000, soundPerS: 80, badPerS: 0 };
    const outcome = playFleet({ ...base, lossAt: 6_000, lostEngines: 12 });
    t.deepEqual(outcome.changes, [], `seed ${seed}`);
  });
});
