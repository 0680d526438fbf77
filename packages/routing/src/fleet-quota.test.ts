import test from 'ava';
import fc from 'fast-check';
import { makeFleetQuota, type FleetQuota } from './fleet-quota.js';

const windowMs = 8_000;
const slack = 140_000;
const limit = { ratePerS: 12_000, burst: 12_000 };
const overage = 0.1;
const allowed = (limit.ratePerS * 8 + limit.burst) * (1 + overage) + slack;

interface Spent {
  readonly at: number;
  readonly cost: number;
}

const mostInWindow = (spent: readonly Spent[]): number =>
  Math.max(
    0,
    ...spent.map(({ at }) =>
      spent
        .filter((one) => one.at >= at && one.at < at + windowMs)
        .reduce((sum, one) => sum + one.cost, 0),
    ),
  );

interface Play {
  readonly vms: number;
  /** Requests a second over all VMs. */
  readonly perS: number;
  readonly seconds: number;
  readonly cost: number;
  readonly gossipMs: number;
  /** Time at which all VMs are killed, if any. */
  readonly killAt?: number;
}

/** Each VM tells all others what it has admitted. */
const tellAll = (fleet: readonly FleetQuota[], life: string, now: number): void =>
  fleet.forEach((from, a) =>
    fleet.forEach((to, b) => {
      if (a !== b) to.recordPeerTotals(`${life}, VM ${a}`, { ...from.getTotals() }, false, now);
    }),
  );

/** Plays a flood by one workspace over VMs that hear each other late. */
const play = ({ vms, perS, seconds, cost, gossipMs, killAt }: Play): Spent[] => {
  const make = (first: boolean, at: number): FleetQuota =>
    makeFleetQuota({ windowMs, slack }, first, at);
  const lives = [Array.from({ length: vms }, () => make(true, 0))];
  const spent: Spent[] = [];
  let nextGossip = 0;
  for (let step = 0; step < perS * seconds; step += 1) {
    const now = (step * 1_000) / perS;
    if (killAt !== undefined && now >= killAt && lives.length === 1)
      lives.push(Array.from({ length: vms }, () => make(false, now)));
    const fleet = lives.at(-1) ?? [];
    if (now >= nextGossip) {
      nextGossip += gossipMs;
      tellAll(fleet, `life ${lives.length}`, now);
    }
    if (fleet[step % vms]?.tryAdmit('w', limit, cost, now).admitted) spent.push({ at: now, cost });
  }
  return spent;
};

test('a flood over eight VMs stays within the bound of each window', (t) => {
  const spent = play({ vms: 8, perS: 40, seconds: 30, cost: 6_000, gossipMs: 100 });
  t.true(mostInWindow(spent) <= allowed);
});

test('a flood stays within the bound when all VMs are killed in its middle', (t) => {
  fc.assert(
    fc.property(fc.integer({ min: 1_000, max: 16_000 }), (killAt) => {
      const spent = play({ vms: 8, perS: 40, seconds: 20, cost: 6_000, gossipMs: 100, killAt });
      return mostInWindow(spent) <= allowed;
    }),
    { numRuns: 30 },
  );
  t.pass();
});

test('a VM that restarts does not count what its peers admitted long before', (t) => {
  const fresh = makeFleetQuota({ windowMs, slack }, false, 100_000);
  fresh.adoptLevels({ w: [50_000, 20_000] }, 100_000);
  fresh.recordPeerTotals('old', { w: 2_000_000 }, true, 100_010);
  t.true(fresh.tryAdmit('w', limit, 6_000, 100_020).admitted);
  fresh.recordPeerTotals('old', { w: 2_100_000 }, true, 100_030);
  t.false(fresh.tryAdmit('w', limit, 6_000, 100_040).admitted);
});

test('small requests pass while large ones keep the bucket empty', (t) => {
  const quota = makeFleetQuota({ windowMs, slack }, true, 0);
  let refused = 0;
  for (let now = 0; now < 20_000; now += 25) {
    quota.tryAdmit('w', limit, 6_000, now);
    if (now % 200 === 0 && !quota.tryAdmit('w', limit, 200, now).admitted) refused += 1;
  }
  t.is(refused, 0);
});

test('a flood of small requests alone stays within the bound', (t) => {
  const spent = play({ vms: 8, perS: 400, seconds: 16, cost: 200, gossipMs: 100 });
  t.true(mostInWindow(spent) <= allowed);
});

test('nothing that keeps within rate and burst is refused', (t) => {
  const spent = play({ vms: 8, perS: 2, seconds: 40, cost: 6_000, gossipMs: 100 });
  t.is(spent.length, 80);
});

test('a VM that starts among others takes over what they know', (t) => {
  const known = makeFleetQuota({ windowMs, slack: 0 }, true, 0);
  known.tryAdmit('w', limit, 30_000, 0);
  const fresh = makeFleetQuota({ windowMs, slack: 0 }, false, 100);
  t.is(fresh.getLevels(100), undefined);
  t.false(fresh.tryAdmit('w', limit, 6_000, 100).admitted);
  const levels = known.getLevels(100);
  if (levels) fresh.adoptLevels(levels, 100);
  t.deepEqual(fresh.getLevels(100), levels);
});

test('a burst within the window of rate and burst passes at once', (t) => {
  const quota = makeFleetQuota({ windowMs, slack }, true, 0);
  quota.recordPeerTotals('p', { w: limit.burst + slack }, false, 0);
  quota.tryAdmit('w', limit, 1, 0);
  const later = windowMs + 500;
  const admitted = Array.from({ length: 20 }, () => quota.tryAdmit('w', limit, 6_000, later));
  t.is(admitted.filter((one) => one.admitted).length, 18);
  t.true((admitted.at(-1)?.retryAfterMs ?? 0) > 0);
});

test('totals told twice or late count once', (t) => {
  const quota = makeFleetQuota({ windowMs, slack }, true, 0);
  quota.recordPeerTotals('p', { w: 100_000 }, false, 0);
  quota.recordPeerTotals('p', { w: 100_000 }, false, 1);
  quota.recordPeerTotals('p', { w: 40_000 }, false, 2);
  t.true(quota.tryAdmit('w', limit, 6_000, 3).admitted);
  t.false(quota.tryAdmit('w', limit, 6_000, 4).admitted);
});

test('a VM that hears an eighth of the fleet hands out an eighth', (t) => {
  const quota = makeFleetQuota({ windowMs, slack: 0 }, true, 0);
  quota.setReachableShare(1 / 8);
  let admitted = 0;
  for (let now = 0; now < windowMs; now += 10)
    if (quota.tryAdmit('w', limit, 500, now).admitted) admitted += 500;
  t.true(admitted <= (limit.ratePerS * 8 + limit.burst) / 8 + 500);
});

test('a workspace without a rate is never refused', (t) => {
  const quota = makeFleetQuota({ windowMs, slack: 0 }, false, 0);
  t.true(quota.tryAdmit('w', { ratePerS: 0, burst: 0 }, 1e9, 0).admitted);
});

/** Plays a flood over VMs of four data centres; those elsewhere hear rarely, or when it matters. */
const playLargeFleet = (tellsScarce: boolean): Spent[] => {
  const dataCentres = 4;
  const vms = 40;
  const farMs = 3_200;
  const fleet = Array.from({ length: vms }, () => makeFleetQuota({ windowMs, slack }, true, 0));
  const isUrgent = new Array<boolean>(vms).fill(false);
  const spent: Spent[] = [];
  const perS = 200;
  for (let step = 0; step < perS * 16; step += 1) {
    const now = (step * 1_000) / perS;
    // A message takes two steps.
    if (step % 2 === 0)
      fleet.forEach((from, a) =>
        fleet.forEach((to, b) => {
          const isNear = a % dataCentres === b % dataCentres;
          const isDue = Math.floor(now / farMs) > Math.floor((now - 10) / farMs);
          if (a === b || !(isNear || isDue || isUrgent[a])) return;
          to.recordPeerTotals(`VM ${a}`, { ...from.getTotals() }, false, now);
        }),
      );
    if (step % 2 === 0) isUrgent.fill(false);
    const at = step % vms;
    const got = fleet[at]?.tryAdmit('w', limit, 3_300, now);
    if (got?.admitted) spent.push({ at: now, cost: 3_300 });
    if (got?.admitted && got.isBucketLow && tellsScarce) isUrgent[at] = true;
  }
  return spent;
};

test('a flood over four data centres stays within the bound when low buckets are told at once', (t) => {
  t.true(mostInWindow(playLargeFleet(true)) <= allowed);
  t.true(mostInWindow(playLargeFleet(false)) > allowed);
});
