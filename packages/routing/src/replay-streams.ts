import type { BackendServer, EngineLimits } from '@hemlocksill/types/routing.js';
import { makeEngineLedger, type EngineLedger } from './engine-ledger.js';
import { makeEngineRates, type EngineRates } from './engine-rates.js';
import { makeServer } from './fixtures.js';
import { chooseDecode, choosePrefill, type PlacementView } from './place-work.js';
import { measureMemory } from './measure-memory.js';
import { makeServerHealth } from './server-health.js';
import { makeStreamQueue, type StreamQueue } from './stream-queue.js';
import { makeStreamAdmission, waitingRepeatMs, type StreamAdmission } from './stream-admission.js';
import { makeStreamTiming, type StreamTiming } from './stream-timing.js';

/** A stream of a replayed load. */
export interface ReplayedStream {
  readonly at: number;
  readonly vm: number;
  readonly workspace: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Target time to the first event. */
  readonly targetMs: number;
}

/** An engine of a replay; speed 1 is that of a usual engine. */
export interface ReplayedEngine {
  readonly server: BackendServer;
  readonly speed: number;
}

/** One VM of a replay, with what it knows. */
export interface ReplayedVm {
  readonly index: number;
  readonly dataCentre: string;
  readonly ledger: EngineLedger;
  readonly rates: EngineRates;
  readonly timing: StreamTiming;
  readonly queue: StreamQueue;
  /** Set if classes are in force; the same as the queue. */
  readonly admission: StreamAdmission | undefined;
  /** Waiting tokens of each other VM as last received. */
  readonly peerWaiting: Map<number, { readonly tokens: number; readonly receivedAt: number }>;
}

/** What became of the streams of a replay. */
export interface ReplayResult {
  /** Streams with their first event within the target, later, or refused, by priority and workspace. */
  readonly outcomes: readonly {
    readonly stream: ReplayedStream;
    readonly outcome: 'on-time' | 'late' | 'refused' | 'preempted';
    readonly firstEventMs: number;
    /** Times that the caller was refused before. */
    readonly refusals: number;
  }[];
  /** Placements that engines rejected since their memory was taken. */
  readonly rejections: number;
  readonly preemptions: number;
  /** Mean standard deviation of the used share of memory over decode engines. */
  readonly spread: number;
  /** The same among decode engines of one speed. */
  readonly spreadOfSpeed: number;
  /** Mean used share of memory by speed. */
  readonly usedShares: ReadonlyMap<number, number>;
  /** Mean milliseconds from arrival to the end of the streams that ended. */
  readonly meanStreamMs: number;
}

/** Options of a replay. */
export interface ReplayOptions {
  readonly vms: number;
  readonly dataCentres: number;
  readonly engines: readonly ReplayedEngine[];
  readonly limits: EngineLimits;
  readonly streams: readonly ReplayedStream[];
  readonly byRates: boolean;
  /** Whether streams of all VMs have one order. */
  readonly classes: boolean;
  /** Times that a refused caller returns, at another VM. */
  readonly maxReturns: number;
  /** Samples of each engine that each VM has when the replay starts. */
  readonly learnedSamples: number;
  readonly random: () => number;
}

/** Time for which a VM of a large fleet collects changes into one message, see `peer-outbox`. */
const batchMs = 12;

/** One-way times of a message or call inside a data centre and between two. */
const nearMs = 0.3;
const farMs = 1;

/** Interval between full messages to all VMs, for each VM of the fleet; see `peers-controller`. */
const fullPeriodPerVmMs = 60;

/** Speed of a usual engine. */
const usualPrefillTokensPerMs = 30;
const usualOutputTokensPerS = 400;
const usualFirstEventMs = 60;
const usualPrefillMs = 150;

const growPeriodMs = 100;
const tickMs = 100;
const samplePeriodMs = 100;
const maxWaitingAgeMs = 1_000;
const reservedOutputTokens = 608;
const maxReservationAttempts = 3;
const placementRetryDelayMs = 20;

/** Time for which a caller waits for its response. */
const callerTimeoutMs = 15_000;

/** State of an engine as it really is. */
interface EngineState extends ReplayedEngine {
  usedTokens: number;
  busyUntil: number;
  /** Ends running streams, the latest one last. */
  readonly running: Map<object, () => void>;
}

/** Runs events in the order of their time. */
const makeTimeline = () => {
  const heap: { readonly at: number; readonly order: number; readonly run: () => void }[] = [];
  let order = 0;
  let now = 0;
  const isBefore = (a: number, b: number): boolean => {
    const [x, y] = [heap[a], heap[b]];
    if (!x || !y) return false;
    return x.at < y.at || (x.at === y.at && x.order < y.order);
  };
  const swap = (a: number, b: number): void => {
    const [x, y] = [heap[a], heap[b]];
    if (!x || !y) return;
    heap[a] = y;
    heap[b] = x;
  };
  return {
    now: () => now,
    add: (at: number, run: () => void): void => {
      order += 1;
      heap.push({ at: Math.max(at, now), order, run });
      let index = heap.length - 1;
      while (index > 0) {
        const parent = Math.floor((index - 1) / 2);
        if (!isBefore(index, parent)) break;
        swap(index, parent);
        index = parent;
      }
    },
    runUntil: (end: number): void => {
      while ((heap[0]?.at ?? Number.POSITIVE_INFINITY) <= end) {
        const [event] = heap;
        const last = heap.pop();
        if (!event || !last) return;
        if (heap.length > 0) {
          heap[0] = last;
          let index = 0;
          for (;;) {
            const left = index * 2 + 1;
            const right = left + 1;
            let least = index;
            if (left < heap.length && isBefore(left, least)) least = left;
            if (right < heap.length && isBefore(right, least)) least = right;
            if (least === index) break;
            swap(index, least);
            index = least;
          }
        }
        now = event.at;
        event.run();
      }
    },
  };
};

const getDeviation = (values: readonly number[]): number => {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  return Math.sqrt(values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / values.length);
};

/** Makes engines of these speeds in turn, a third of them for prompts, spread over data centres. */
export const makeReplayedEngines = (
  count: number,
  dataCentres: number,
  speeds: readonly number[],
): readonly ReplayedEngine[] =>
  Array.from({ length: count }, (_, n) => ({
    server: makeServer({
      id: `e${n}`,
      service: 'llm',
      // Groups of three of one stage hold one engine of each speed.
      stage: Math.floor(n / speeds.length) % 3 === 0 ? 'prefill' : 'decode',
      dataCentre: `dc${Math.floor(n / (speeds.length * 3)) % dataCentres}`,
    }),
    speed: speeds[n % speeds.length] ?? 1,
  }));

/**
 * Replays streams of many VMs, each of which decides with its own ledger, fed by the others' messages with
 * the delays and recipients of a large fleet.
 *
 * @example
 * replayStreams({ vms: 80, dataCentres: 4, engines, limits, streams, byRates: true, random });
 */
export const replayStreams = (options: ReplayOptions): ReplayResult => {
  const { limits, random } = options;
  const timeline = makeTimeline();
  const { now } = timeline;
  const engines = new Map<string, EngineState>(
    options.engines.map((engine) => [
      engine.server.id,
      { ...engine, usedTokens: 0, busyUntil: 0, running: new Map() },
    ]),
  );
  const servers = options.engines.map(({ server }) => server);
  const outcomes: ReplayResult['outcomes'][number][] = [];
  let rejections = 0;
  let preemptions = 0;
  let endedMs = 0;
  let ended = 0;

  const makeVm = (index: number): ReplayedVm => {
    const rates = makeEngineRates();
    options.engines.forEach(({ server, speed }) => {
      for (let n = 0; n < options.learnedSamples; n += 1) {
        const noise = 0.9 + 0.2 * random();
        if (server.stage === 'prefill')
          rates.recordPrefill(3_000, (3_000 / (usualPrefillTokensPerMs * speed)) * noise, server);
        else
          rates.recordOutput(
            1_400,
            (1_400_000 / (usualOutputTokensPerS * speed) + usualPrefillMs) * noise,
            server,
          );
      }
    });
    const ledger = makeEngineLedger(rates);
    const timing = makeStreamTiming();
    const peerWaiting: ReplayedVm['peerWaiting'] = new Map();
    const admission = options.classes
      ? makeStreamAdmission({
          getMemory: (_, tokens, nowMs) =>
            measureMemory(servers, tokens, limits, { ledger, rates, now: nowMs }, timing),
          countVms: () => options.vms,
        })
      : undefined;
    const queue: StreamQueue =
      admission ??
      makeStreamQueue((service, tokens, nowMs) => {
        let ahead = queue.countWaitingTokens(service);
        peerWaiting.forEach((peer) => {
          if (nowMs - peer.receivedAt <= maxWaitingAgeMs) ahead += peer.tokens;
        });
        return timing.predictMemoryWaitMs(servers, limits, ledger, tokens + ahead, nowMs);
      });
    const dataCentre = `dc${index % options.dataCentres}`;
    return { index, dataCentre, ledger, rates, timing, queue, admission, peerWaiting };
  };
  const vms = Array.from({ length: options.vms }, (_, index) => makeVm(index));
  const health = makeServerHealth();
  const getDelayMs = (a: string, b: string): number => (a === b ? nearMs : farMs);

  const send = (vm: ReplayedVm, dataCentres: ReadonlySet<string> | undefined): void => {
    const rows = vm.ledger.getLocalRows();
    const tokens = vm.queue.countWaitingTokens('llm');
    const waitingRows = vm.admission?.listRows(now()) ?? {};
    vms.forEach((other) => {
      if (other === vm || (dataCentres && !dataCentres.has(other.dataCentre))) return;
      timeline.add(now() + getDelayMs(vm.dataCentre, other.dataCentre), () => {
        other.ledger.recordPeerLoad(String(vm.index), rows, now());
        other.peerWaiting.set(vm.index, { tokens, receivedAt: now() });
        other.admission?.recordPeer(String(vm.index), waitingRows, now());
        if (other.queue.size() > 0) other.queue.process(now());
      });
    });
  };
  const pending = new Map<number, Set<string>>();
  const notify = (vm: ReplayedVm, dataCentre: string): void => {
    const waiting = pending.get(vm.index);
    if (waiting) waiting.add(dataCentre);
    else {
      const dataCentres = new Set([vm.dataCentre, dataCentre]);
      pending.set(vm.index, dataCentres);
      timeline.add(now() + batchMs, () => {
        pending.delete(vm.index);
        send(vm, dataCentres);
      });
    }
    if (vm.queue.size() > 0) timeline.add(now(), () => vm.queue.process(now()));
  };

  const preempt = (engine: EngineState): void => {
    while (engine.usedTokens > limits.memoryTokens) {
      const last = [...engine.running.values()].pop();
      if (!last) return;
      preemptions += 1;
      last();
    }
  };

  const runStream = (
    vm: ReplayedVm,
    stream: ReplayedStream,
    id: string,
    refusals: number,
  ): void => {
    const { promptTokens, outputTokens } = stream;
    const requirement = { promptTokens, maxTokens: promptTokens + outputTokens };
    const arrivedAt = now();
    const record = (outcome: 'on-time' | 'late' | 'refused' | 'preempted', ms = 0): void => {
      outcomes.push({ stream, outcome, firstEventMs: ms, refusals });
    };
    const rank = { service: 'llm', priority: stream.priority, workspace: stream.workspace };
    const refusedAt = vm.admission?.recordArrival(rank, promptTokens, arrivedAt);
    const refuse = (predictedMs: number): void => {
      record('refused');
      const longestMs = (arrivedAt + callerTimeoutMs - now()) / 3 / 1.3;
      const retryAfterMs = Math.min(Math.max(predictedMs, vm.timing.getStreamMs()), longestMs);
      vm.admission?.recordRefusal(rank, retryAfterMs, now(), refusedAt);
      if (refusals >= options.maxReturns) return;
      const other = vms[Math.floor(random() * vms.length)];
      timeline.add(now() + retryAfterMs * (1 + 0.3 * random()), () => {
        if (other) runStream(other, stream, `${id}r`, refusals + 1);
      });
    };
    const getView = (): PlacementView => ({
      ledger: vm.ledger,
      health,
      hasRoom: () => true,
      rates: vm.rates,
      dataCentre: vm.dataCentre,
      now: now(),
      ...(options.byRates ? { rateDraw: random } : {}),
    });
    const choose = () => {
      const view = getView();
      const decode = chooseDecode(servers, requirement, limits, view, new Set());
      const prefill = decode && choosePrefill(servers, promptTokens, decode, view, new Set());
      return decode && prefill && { decode, prefill: prefill.server };
    };
    const getLatestOnTime = (): number =>
      arrivedAt +
      stream.targetMs -
      promptTokens / vm.rates.getPrefillTokensPerMs() -
      vm.timing.getFirstEventDelayMs();

    const decodeAt = (
      engine: EngineState,
      allocation: ReturnType<EngineLedger['addDecode']>,
      allocatedAt: number,
    ): void => {
      const noise = 0.9 + 0.2 * random();
      const tokensPerMs = (usualOutputTokensPerS * engine.speed * noise) / 1_000;
      const firstAt = now() + usualFirstEventMs / engine.speed;
      timeline.add(firstAt, () => {
        vm.timing.recordFirstEventDelay(usualFirstEventMs / engine.speed);
        const firstEventMs = now() - arrivedAt;
        record(firstEventMs <= stream.targetMs ? 'on-time' : 'late', firstEventMs);
      });
      let grown = 0;
      const key = {};
      const finish = (): void => {
        if (!engine.running.delete(key)) return;
        engine.usedTokens -=
          promptTokens + reservedOutputTokens + Math.max(0, grown - reservedOutputTokens);
        allocation.release();
        const durationMs = now() - allocatedAt;
        vm.timing.recordStreamDuration(durationMs);
        vm.rates.recordOutput(grown, durationMs, engine.server);
        endedMs += now() - arrivedAt;
        ended += 1;
        notify(vm, engine.server.dataCentre);
      };
      engine.running.set(key, finish);
      const grow = (): void => {
        if (!engine.running.has(key)) return;
        const tokens = Math.min(outputTokens - grown, growPeriodMs * tokensPerMs);
        const before = Math.max(0, grown - reservedOutputTokens);
        grown += tokens;
        engine.usedTokens += Math.max(0, grown - reservedOutputTokens) - before;
        allocation.grow(tokens);
        if (grown >= outputTokens) finish();
        else {
          timeline.add(now() + growPeriodMs, grow);
          preempt(engine);
        }
      };
      timeline.add(firstAt + growPeriodMs, grow);
    };

    const readPrompt = (
      placement: { decode: BackendServer; prefill: BackendServer },
      allocation: ReturnType<EngineLedger['addDecode']>,
      allocatedAt: number,
    ): void => {
      const prefill = engines.get(placement.prefill.id);
      const decode = engines.get(placement.decode.id);
      if (!prefill || !decode) return;
      const ahead = vm.ledger.getTotal(placement.prefill.id, now()).prefillTokens;
      const sentAt = now();
      vm.ledger.addPrefill(placement.prefill.id, promptTokens);
      notify(vm, placement.prefill.dataCentre);
      const delayMs = getDelayMs(vm.dataCentre, placement.prefill.dataCentre);
      prefill.busyUntil =
        Math.max(prefill.busyUntil, now() + delayMs) +
        promptTokens / (usualPrefillTokensPerMs * prefill.speed);
      timeline.add(prefill.busyUntil + delayMs, () => {
        vm.ledger.removePrefill(placement.prefill.id, promptTokens);
        vm.rates.recordPrefill(promptTokens, now() - sentAt, placement.prefill, ahead);
        decodeAt(decode, allocation, allocatedAt);
      });
    };

    const reserve = (
      placement: { decode: BackendServer; prefill: BackendServer },
      attempt: number,
    ): void => {
      const engine = engines.get(placement.decode.id);
      if (!engine) return;
      const allocatedAt = now();
      const allocation = vm.ledger.addDecode(placement.decode.id, promptTokens);
      notify(vm, placement.decode.dataCentre);
      const delayMs = getDelayMs(vm.dataCentre, placement.decode.dataCentre);
      timeline.add(now() + delayMs, () => {
        const tokens = promptTokens + reservedOutputTokens;
        const isFull = engine.usedTokens + tokens > limits.memoryTokens;
        if (!isFull) engine.usedTokens += tokens;
        timeline.add(now() + delayMs, () => {
          if (!isFull) {
            vm.admission?.recordSent(rank, promptTokens + outputTokens, now());
            readPrompt(placement, allocation, allocatedAt);
            return;
          }
          rejections += 1;
          vm.ledger.recordFull(placement.decode.id, now());
          allocation.release();
          notify(vm, placement.decode.dataCentre);
          const next = attempt < maxReservationAttempts ? choose() : undefined;
          if (next) reserve(next, attempt + 1);
          else queueStream(now() + placementRetryDelayMs, Math.max(getLatestOnTime(), now() + 1));
        });
      });
    };

    const queueStream = (notBefore: number, waitUntil: number): void => {
      vm.queue.push({
        id,
        service: 'llm',
        softwareVersion: undefined,
        workspace: stream.workspace,
        priority: stream.priority,
        neededTokens: promptTokens,
        arrivedAt,
        waitUntil,
        tryPlace: (nowMs) => {
          if (nowMs < notBefore) return false;
          const placement = choose();
          if (!placement) return false;
          reserve(placement, 1);
          return true;
        },
        refuse,
        ...(refusedAt === undefined ? {} : { refusedAt }),
      });
      vm.queue.process(now());
      if (vm.admission && vm.queue.size() > 0) notify(vm, vm.dataCentre);
    };

    let ahead = vm.queue.countWaitingTokens('llm');
    vm.peerWaiting.forEach((peer) => {
      if (now() - peer.receivedAt <= maxWaitingAgeMs) ahead += peer.tokens;
    });
    const waitMs = vm.admission
      ? vm.admission.predictWaitMs(rank, promptTokens, now())
      : vm.timing.predictMemoryWaitMs(servers, limits, vm.ledger, promptTokens + ahead, now());
    if (now() + waitMs > getLatestOnTime()) refuse(waitMs);
    else queueStream(0, getLatestOnTime());
  };

  options.streams.forEach((stream, index) => {
    const vm = vms[stream.vm];
    if (vm) timeline.add(stream.at, () => runStream(vm, stream, `s${index}`, 0));
  });
  const endAt = (options.streams.at(-1)?.at ?? 0) + 15_000;
  const measuredUntil = options.streams.at(-1)?.at ?? 0;
  const fullPeriodMs = fullPeriodPerVmMs * options.vms;
  vms.forEach((vm) => {
    const sendFull = (): void => {
      send(vm, undefined);
      if (now() < endAt) timeline.add(now() + fullPeriodMs, sendFull);
    };
    timeline.add((vm.index * fullPeriodMs) / options.vms, sendFull);
    let ticks = 0;
    const tick = (): void => {
      if (vm.queue.size() > 0) vm.queue.process(now());
      ticks += 1;
      if (vm.admission && vm.queue.size() > 0 && ticks % (waitingRepeatMs / tickMs) === 0)
        notify(vm, vm.dataCentre);
      if (now() < endAt) timeline.add(now() + tickMs, tick);
    };
    timeline.add((vm.index * tickMs) / options.vms, tick);
  });

  let spreadSum = 0;
  let spreadOfSpeedSum = 0;
  let samples = 0;
  const usedBySpeed = new Map<number, { sum: number; count: number }>();
  const sample = (): void => {
    const decodes = [...engines.values()].filter(({ server }) => server.stage === 'decode');
    const shares = decodes.map(({ usedTokens }) => usedTokens / limits.memoryTokens);
    spreadSum += getDeviation(shares);
    const speeds = [...new Set(decodes.map(({ speed }) => speed))];
    spreadOfSpeedSum +=
      speeds
        .map((speed) => getDeviation(shares.filter((_, n) => decodes[n]?.speed === speed)))
        .reduce((sum, deviation) => sum + deviation, 0) / speeds.length;
    samples += 1;
    decodes.forEach(({ speed }, index) => {
      const used = usedBySpeed.get(speed) ?? { sum: 0, count: 0 };
      used.sum += shares[index] ?? 0;
      used.count += 1;
      usedBySpeed.set(speed, used);
    });
    if (now() < measuredUntil) timeline.add(now() + samplePeriodMs, sample);
  };
  timeline.add(0, sample);
  timeline.runUntil(endAt);
  return {
    outcomes,
    rejections,
    preemptions,
    spread: spreadSum / samples,
    spreadOfSpeed: spreadOfSpeedSum / samples,
    usedShares: new Map([...usedBySpeed].map(([speed, { sum, count }]) => [speed, sum / count])),
    meanStreamMs: endedMs / ended,
  };
};

/** Returns a generator of numbers in [0, 1) that is determined by its seed. */
export const makeSeededRandom = (seed: number): (() => number) => {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
};
