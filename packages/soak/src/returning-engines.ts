import { setTimeout as sleep } from 'node:timers/promises';
import { reservePorts } from '@hemlocksill/stand-ins/reserve-ports.js';
import {
  startStandInBackendServer,
  type BackendServerOptions,
  type StandInBackendServer,
  type StreamBreak,
} from '@hemlocksill/platform/fakes/stand-in-backend-server.js';
import {
  registerBackendServer,
  removeBackendServer,
  type StandInPlatform,
} from '@hemlocksill/platform/fakes/stand-in-platform.js';
import type { Span } from './records.js';

/** Number of engines that come back under their id and port. */
export const returningEngineCount = 6;

/** How engines that come back go on with a resumed stream at a wrong event. */
export type WrongResume = 'early' | 'first' | 'late';

/** Events by which an engine goes on too early or too late. */
const wrongEventShift = 3;

const versions = ['v1', 'v2'] as const;

/** An engine that comes back under its id and port, each time as a new process. */
export interface ReturningEngine {
  readonly id: string;
  /** All processes; the last one runs unless the engine is away. */
  readonly instances: StandInBackendServer[];
  isAway: boolean;
  /** Whether its writes to the store don't arrive. */
  isCutOff: boolean;
  /** Intervals in which it was away or went on at wrong events. */
  readonly faultSpans: Span[];
}

/** Engines that come back, and what they need. */
export interface ReturningEngines {
  readonly list: readonly ReturningEngine[];
  /** Ends the process of an engine and starts another `awayMs` later; its entry stays. */
  readonly restart: (
    engine: ReturningEngine,
    how: StreamBreak,
    awayMs: number,
    changesVersion: boolean,
  ) => Promise<void>;
  /** Has an engine write its entry, unless it is away or cut off from the store. */
  readonly writeEntry: (engine: ReturningEngine) => void;
  readonly removeEntry: (engine: ReturningEngine) => void;
  readonly close: () => void;
}

const getInstance = ({ id, instances }: ReturningEngine): StandInBackendServer => {
  const instance = instances.at(-1);
  if (!instance) throw new Error(`engine ${id} has no instance`);
  return instance;
};

/**
 * Chooses the event after which an engine goes on that is to go on after `lastEvent`.
 *
 * @example
 * chooseWrongEvent('late', 7); // 10
 */
export const chooseWrongEvent = (wrong: WrongResume, lastEvent: number): number => {
  switch (wrong) {
    case 'early':
      return Math.max(0, lastEvent - wrongEventShift);
    case 'late':
      return lastEvent + wrongEventShift;
    default:
      return 0;
  }
};

/**
 * Breaks off the streams that are open at an engine, whose process goes on.
 *
 * @example
 * await breakEngineStreams(engine, { by: 'reset', isInsideEvent: true });
 */
export const breakEngineStreams = (engine: ReturningEngine, how: StreamBreak): Promise<void> =>
  getInstance(engine).breakStreams(how);

/**
 * Has an engine go on with resumed streams at a wrong event, or at the right one again.
 *
 * @example
 * setWrongResume(engine, 'early');
 */
export const setWrongResume = (engine: ReturningEngine, wrong: WrongResume | undefined): void => {
  getInstance(engine).options.resumeAfter =
    wrong === undefined ? undefined : (lastEvent) => chooseWrongEvent(wrong, lastEvent);
};

/**
 * Starts engines that come back under their id and port, each second one with streams that have no length.
 * They write their entries themselves.
 *
 * @example
 * const engines = await startReturningEngines(platform, { events: 30 }, false, now);
 */
export const startReturningEngines = async (
  platform: StandInPlatform,
  options: Omit<BackendServerOptions, 'id'>,
  hasTwoVersions: boolean,
  now: () => number,
): Promise<ReturningEngines> => {
  let isClosed = false;
  let lastStartTime = 0;
  /** No two processes have the same one, so that events show which process wrote them. */
  const takeStartTime = (): number => {
    lastStartTime = Math.max(Date.now(), lastStartTime + 1);
    return lastStartTime;
  };
  // A free port could be taken by an outgoing connection while its engine is away.
  const ports = await reservePorts(returningEngineCount);
  const start = async (number: number): Promise<ReturningEngine> => {
    const id = `e${number}`;
    const instance = await startStandInBackendServer({
      ...options,
      id,
      port: ports[number - 1] ?? 0,
      stage: 'decode',
      isUnframed: number % 2 === 0,
      version: hasTwoVersions && number > returningEngineCount / 2 ? 'v2' : 'v1',
      startedAt: takeStartTime(),
    });
    return { id, instances: [instance], isAway: false, isCutOff: false, faultSpans: [] };
  };
  const list = await Promise.all(
    Array.from({ length: returningEngineCount }, (_, n) => start(n + 1)),
  );
  const writeEntry = (engine: ReturningEngine): void => {
    if (isClosed || engine.isAway || engine.isCutOff) return;
    registerBackendServer(platform.store, 'llm', getInstance(engine));
  };
  list.forEach(writeEntry);
  return {
    list,
    writeEntry,
    removeEntry: (engine) => removeBackendServer(platform.store, getInstance(engine)),
    restart: async (engine, how, awayMs, changesVersion) => {
      if (engine.isAway) return;
      engine.isAway = true;
      const span = { from: now(), to: Number.POSITIVE_INFINITY };
      engine.faultSpans.push(span);
      const instance = getInstance(engine);
      await instance.end(how);
      await sleep(awayMs);
      if (isClosed) return;
      const { options: last, port } = instance;
      const other = versions.find((version) => version !== last.version) ?? versions[0];
      const next: BackendServerOptions = {
        ...last,
        port,
        startedAt: takeStartTime(),
        version: changesVersion ? other : (last.version ?? versions[0]),
        resumeAfter: undefined,
      };
      engine.instances.push(await startStandInBackendServer(next));
      engine.isAway = false;
      span.to = now();
    },
    close: () => {
      isClosed = true;
      list.forEach(({ instances }) => instances.forEach((instance) => instance.close()));
    },
  };
};
