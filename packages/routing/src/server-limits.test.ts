import test from 'ava';
import { makeServer } from './fixtures.js';
import { makeServerLimits, type LimitRow, type ServerLimits } from './server-limits.js';

const server = makeServer({ id: 'i-1' });

const windowMs = 4_000;

const latencyMs = 20;

/** Requests that a window may hold by the rule of the users: half as much again, and five. */
const getMaxInWindow = (limit: number): number => limit * (windowMs / 1_000) * 1.5 + 5;

const makeRandom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) % 4_294_967_296;
    return (state >>> 0) / 4_294_967_296;
  };
};

interface Scenario {
  readonly seed: number;
  readonly vms: number;
  /** Requests for the server from callers of all VMs, per second. */
  readonly demandPerS: number;
  readonly limitPerS: number;
  /** Share of the requests that come to the first VM; the rest is spread evenly. */
  readonly firstVmShare?: number;
  readonly gossipMs?: number;
  readonly heartbeatMs?: number;
  readonly messageLoss?: number;
  /** Time at which half of the VMs are killed and start again. */
  readonly restartAt?: number;
  /** Time from which the two halves of the fleet hear nothing of each other, and when they notice. */
  readonly cutAt?: number;
}

interface Sent {
  readonly at: number;
  readonly vm: number;
}

const durationMs = 30_000;
const contactMs = 3_000;
const cutNoticeMs = 1_500;

/** Plays a fleet before one limited server on a virtual clock; returns what reached the server. */
const playFleet = (scenario: Scenario): Sent[] => {
  const { vms, demandPerS, limitPerS, gossipMs = 8, heartbeatMs = 500 } = scenario;
  const { messageLoss = 0.03, firstVmShare = 1 / vms } = scenario;
  const random = makeRandom(scenario.seed);
  const startedAt = Array.from({ length: vms }, () => 0);
  const fleet: ServerLimits[] = startedAt.map(() => makeServerLimits());
  const changed = new Set<number>();
  const messages: { at: number; from: string; fromVm: number; to: number; rows: LimitRow[] }[] = [];
  const responses: { at: number; vm: number }[] = [];
  const sent: Sent[] = [];
  const isCut = (a: number, b: number, now: number): boolean =>
    now >= (scenario.cutAt ?? Number.POSITIVE_INFINITY) && a % 2 !== b % 2;
  const send = (vm: number, rows: LimitRow[], at: number): void =>
    fleet.forEach((_, to) => {
      if (to === vm || rows.length === 0 || random() < messageLoss) return;
      messages.push({ at, from: `${vm} ${startedAt[vm]}`, fromVm: vm, to, rows });
    });
  for (let now = 0; now < durationMs; now += 1) {
    while (messages[0] && messages[0].at <= now) {
      const message = messages.shift();
      if (!message || isCut(message.fromVm, message.to, now)) continue;
      const uptimeMs = now - (startedAt[message.to] ?? 0);
      const news = fleet[message.to]?.recordPeer(message.from, message.rows, uptimeMs, now);
      if (news === undefined) break;
    }
    while (responses[0] && responses[0].at <= now) {
      const response = responses.shift();
      if (!response) break;
      if (fleet[response.vm]?.recordResponse(server, limitPerS, latencyMs, now))
        changed.add(response.vm);
    }
    if (now === scenario.restartAt)
      for (let vm = 0; vm < vms / 2; vm += 1) {
        startedAt[vm] = now;
        fleet[vm] = makeServerLimits();
        // The others greet a VM that has started.
        fleet.forEach((peer, from) => {
          if (from < vms / 2) return;
          const rows = peer.listRows('all', now);
          messages.push({ at: now, from: `${from} 0`, fromVm: from, to: vm, rows });
        });
      }
    if (scenario.cutAt !== undefined && now === scenario.cutAt + cutNoticeMs)
      fleet.forEach((limits) => limits.setReachableShare(0.5));
    if (random() < demandPerS / 1_000) {
      const vm =
        random() < firstVmShare ? 0 : Math.min(vms - 1, 1 + Math.floor(random() * (vms - 1)));
      const limits = fleet[vm];
      if (limits && limits.getWaitMs(server, now) <= 0) {
        if (limits.recordSend(server, undefined, now)) changed.add(vm);
        sent.push({ at: now, vm });
        responses.push({ at: now + latencyMs, vm });
      }
    }
    changed.forEach((vm) => send(vm, fleet[vm]?.listRows('changed', now) ?? [], now + gossipMs));
    changed.clear();
    if (now % heartbeatMs === 0)
      fleet.forEach((limits, vm) => send(vm, limits.listRows('all', now), now + gossipMs));
    messages.sort((a, b) => a.at - b.at);
  }
  return sent;
};

const getMostInWindow = (sent: readonly Sent[], from = contactMs): number => {
  const counted = sent.filter(({ at }) => at >= from);
  return Math.max(
    0,
    ...counted.map(
      ({ at: first }) => counted.filter(({ at }) => at >= first && at < first + windowMs).length,
    ),
  );
};

const seeds = [1, 2, 3, 4, 5, 6];

const limitsPerS = [0.5, 1.5, 3, 10];

test('all VMs together keep to the limit of a server, and use most of it', (t) => {
  limitsPerS.forEach((limitPerS) =>
    seeds.forEach((seed) => {
      const sent = playFleet({ seed, vms: 8, demandPerS: 100, limitPerS });
      const most = getMostInWindow(sent);
      t.true(most <= getMaxInWindow(limitPerS), `${limitPerS} a second, seed ${seed}: ${most}`);
      const rate =
        sent.filter(({ at }) => at >= contactMs).length / ((durationMs - contactMs) / 1_000);
      t.true(rate >= limitPerS * 0.8, `${limitPerS} a second, seed ${seed}: ${rate} a second`);
    }),
  );
});

test('one VM uses the limit of a server if the callers come to it', (t) => {
  limitsPerS.forEach((limitPerS) => {
    const sent = playFleet({ seed: 7, vms: 8, demandPerS: 60, limitPerS, firstVmShare: 1 });
    const rate =
      sent.filter(({ at }) => at >= contactMs).length / ((durationMs - contactMs) / 1_000);
    t.true(rate >= limitPerS * 0.8, `${limitPerS} a second: ${rate} a second`);
    t.true(getMostInWindow(sent) <= getMaxInWindow(limitPerS));
  });
});

test('a large fleet, whose messages take longer, keeps to the limit of a server', (t) => {
  limitsPerS.forEach((limitPerS) => {
    const sent = playFleet({
      seed: 8,
      vms: 60,
      demandPerS: 300,
      limitPerS,
      gossipMs: 16,
      heartbeatMs: 3_600,
    });
    const most = getMostInWindow(sent);
    t.true(most <= getMaxInWindow(limitPerS), `${limitPerS} a second: ${most}`);
  });
});

test('VMs that start again share the account of the others', (t) => {
  limitsPerS.forEach((limitPerS) =>
    seeds.forEach((seed) => {
      const sent = playFleet({ seed, vms: 8, demandPerS: 60, limitPerS, restartAt: 10_000 });
      const most = getMostInWindow(sent);
      t.true(most <= getMaxInWindow(limitPerS), `${limitPerS} a second, seed ${seed}: ${most}`);
    }),
  );
});

test('halves of a fleet that are cut off from each other use half of the limit each', (t) => {
  limitsPerS.forEach((limitPerS) =>
    seeds.forEach((seed) => {
      const sent = playFleet({ seed, vms: 8, demandPerS: 60, limitPerS, cutAt: 10_000 });
      const most = getMostInWindow(sent);
      t.true(most <= getMaxInWindow(limitPerS), `${limitPerS} a second, seed ${seed}: ${most}`);
      const late = getMostInWindow(sent, 16_000);
      t.true(late <= limitPerS * 4 + 4, `${limitPerS} a second, seed ${seed}: ${late} later`);
    }),
  );
});

test('the account of a limit begins empty', (t) => {
  const limits = makeServerLimits();
  t.is(limits.getWaitMs(server, 0), 0);
  t.true(limits.recordResponse(server, 2, latencyMs, 1_000));
  t.is(limits.getWaitMs(server, 1_000), 500);
  t.is(limits.getWaitMs(server, 1_500), 0);
  t.true(limits.recordSend(server, 'r1', 1_500));
  t.is(limits.getWaitMs(server, 1_500), 500);
});

test('a server that takes nothing is asked again after some seconds', (t) => {
  const limits = makeServerLimits();
  limits.recordResponse(server, 0, latencyMs, 0);
  const waitMs = limits.getWaitMs(server, 0);
  t.true(waitMs > 2_000 && waitMs <= 10_000, `${waitMs} ms`);
});

test('a request whose room was held is charged once', (t) => {
  const limits = makeServerLimits();
  limits.recordResponse(server, 2, latencyMs, 0);
  t.true(limits.hold(server, 'r1', 1_000));
  t.false(limits.hold(server, 'r1', 1_000));
  t.is(limits.getWaitMs(server, 1_000), 500);
  t.false(limits.recordSend(server, 'r1', 1_100));
  t.is(limits.getWaitMs(server, 1_500), 0);
  t.true(limits.recordSend(server, 'r1', 1_500));
});

test('a restarted server has no limit, and neither has one whose need is over', (t) => {
  const limits = makeServerLimits();
  limits.recordResponse(server, 1, latencyMs, 0);
  t.is(limits.getWaitMs({ ...server, startedAt: 2 }, 0), 0);
  t.is(limits.countLimited(), 1);
  t.true(limits.recordResponse(server, undefined, latencyMs, 1_000));
  t.is(limits.getWaitMs(server, 1_000), 0);
  t.is(limits.countLimited(), 0);
});

test('the end of a limit reaches the VMs that did not hear it, and an old message does not bring it back', (t) => {
  const first = makeServerLimits();
  const second = makeServerLimits();
  first.recordResponse(server, 1, latencyMs, 0);
  const old = first.listRows('all', 10);
  t.is(second.recordPeer('a', old, 5_000, 12).length, 1);
  first.recordResponse(server, undefined, latencyMs, 1_000);
  t.is(second.recordPeer('a', first.listRows('changed', 1_000), 6_000, 1_002).length, 1);
  t.is(second.countLimited(), 0);
  const late = old.map(([instance, limit, , , ...rest]): LimitRow => [
    instance,
    limit,
    1_003,
    983,
    ...rest,
  ]);
  t.is(second.recordPeer('b', late, 6_000, 1_003).length, 0);
  t.is(second.countLimited(), 0);
});

test('servers that are gone and limits that have ended are forgotten', (t) => {
  const limits = makeServerLimits();
  limits.recordResponse(server, 1, latencyMs, 0);
  limits.prune([server], 100_000);
  t.is(limits.listRows('all', 100_000).length, 1);
  limits.prune([], 100_000);
  t.is(limits.listRows('all', 100_000).length, 0);
  limits.recordResponse(server, 1, latencyMs, 100_000);
  limits.recordResponse(server, undefined, latencyMs, 101_000);
  limits.prune([server], 200_000);
  t.is(limits.listRows('all', 200_000).length, 0);
});
