import { setTimeout as sleep } from 'node:timers/promises';
import type { EngineFault, EngineRestart } from './engine-faults.js';
import { breakEngineStreams, setWrongResume, type ReturningEngine } from './returning-engines.js';
import type { Span } from './records.js';
import type { SoakEnvironment } from './start-environment.js';

type FaultOf<Kind extends EngineFault['kind']> = Extract<EngineFault, { readonly kind: Kind }>;

const getEngine = ({ engines }: SoakEnvironment, number: number): ReturningEngine => {
  const engine = engines?.list[number];
  if (!engine) throw new Error(`fault refers to engine ${number}, which does not exist`);
  return engine;
};

const writeEntries = ({ engines }: SoakEnvironment): void =>
  engines?.list.forEach(engines.writeEntry);

/** Ends the engines and starts them again; resolves when all are back and have written their entries. */
const restartEngines = async (
  environment: SoakEnvironment,
  restarts: readonly EngineRestart[],
): Promise<void> => {
  const { engines } = environment;
  await Promise.all(
    restarts.map(async ({ engine: number, at, awayMs, changesVersion, how, entryDelayMs }) => {
      const engine = getEngine(environment, number);
      await sleep(at);
      await engines?.restart(engine, how, awayMs, changesVersion);
      if (entryDelayMs === undefined) return;
      await sleep(entryDelayMs);
      engines?.writeEntry(engine);
    }),
  );
  restarts
    .filter(({ entryDelayMs }) => entryDelayMs === undefined)
    .forEach(({ engine }) => engines?.writeEntry(getEngine(environment, engine)));
};

const lapseLater = async (
  { engines }: SoakEnvironment,
  cutOff: readonly ReturningEngine[],
  lapseMs: number,
): Promise<void> => {
  await sleep(lapseMs);
  cutOff.forEach((engine) => engines?.removeEntry(engine));
};

const cutOffEngines = async (
  environment: SoakEnvironment,
  { restarts, lapseMs, forMs }: FaultOf<'engines-cut-off'>,
): Promise<void> => {
  const cutOff = restarts
    .map(({ engine }) => getEngine(environment, engine))
    .filter(({ isCutOff }) => !isCutOff);
  cutOff.forEach((engine) => {
    engine.isCutOff = true;
  });
  await Promise.all([
    restartEngines(environment, restarts),
    lapseLater(environment, cutOff, lapseMs),
    sleep(forMs),
  ]);
  cutOff.forEach((engine) => {
    engine.isCutOff = false;
    environment.engines?.writeEntry(engine);
  });
};

/** Environments whose store is to be restored; it has one copy. */
const restoring = new WeakSet<SoakEnvironment>();

const restoreStore = async (
  environment: SoakEnvironment,
  { restarts, forMs, outageMs, rewriteMs }: FaultOf<'store-restored'>,
): Promise<void> => {
  if (restoring.has(environment)) {
    await restartEngines(environment, restarts);
    return;
  }
  restoring.add(environment);
  const { store } = environment.platform;
  store.takeCopy();
  await Promise.all([restartEngines(environment, restarts), sleep(forMs)]);
  const span: Span & { to: number } = { from: environment.now(), to: Number.POSITIVE_INFINITY };
  environment.storeOutages.push(span);
  store.setMode('refusing');
  await sleep(outageMs);
  store.restore();
  store.setMode('serving');
  await sleep(rewriteMs);
  writeEntries(environment);
  span.to = environment.now();
  restoring.delete(environment);
};

const breakStreams = async (
  environment: SoakEnvironment,
  { engine: number, count, how, forMs }: FaultOf<'streams-broken'>,
): Promise<void> => {
  const engine = getEngine(environment, number);
  const span = { from: environment.now(), to: Number.POSITIVE_INFINITY };
  engine.faultSpans.push(span);
  for (let n = 0; n < count; n += 1) {
    await breakEngineStreams(engine, how);
    await sleep(forMs / count);
  }
  span.to = environment.now();
};

const resumeWrong = async (
  environment: SoakEnvironment,
  { engine: number, wrong, forMs }: FaultOf<'wrong-resume'>,
): Promise<void> => {
  const engine = getEngine(environment, number);
  const span = { from: environment.now(), to: Number.POSITIVE_INFINITY };
  engine.faultSpans.push(span);
  setWrongResume(engine, wrong);
  await sleep(forMs);
  setWrongResume(engine, undefined);
  span.to = environment.now();
};

/**
 * Injects a fault of engines that come back; resolves when it has ended.
 *
 * @example
 * await injectEngineFault(environment, { kind: 'wrong-resume', at: 0, forMs: 900, engine: 1, wrong: 'late' });
 */
export const injectEngineFault = (
  environment: SoakEnvironment,
  fault: EngineFault,
): Promise<void> => {
  switch (fault.kind) {
    case 'engines-restart':
      return restartEngines(environment, fault.restarts);
    case 'engines-cut-off':
      return cutOffEngines(environment, fault);
    case 'store-restored':
      return restoreStore(environment, fault);
    case 'streams-broken':
      return breakStreams(environment, fault);
    default:
      return resumeWrong(environment, fault);
  }
};
