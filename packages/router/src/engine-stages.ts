import type { BackendServer, ServiceInfo } from '@hemlocksill/types/routing.js';
import type { BackendClient } from '@hemlocksill/types/routing-ports.js';
import type { Store } from '@hemlocksill/types/ports.js';
import {
  makeDemandAverage,
  type DemandAverage,
  type GetEngineSpeed,
} from '@hemlocksill/routing/balance-stages.js';
import type { EngineLedger } from '@hemlocksill/routing/engine-ledger.js';
import type { EngineRates } from '@hemlocksill/routing/engine-rates.js';
import type { StreamTiming } from '@hemlocksill/routing/stream-timing.js';
import type { LogRouterEvent } from './events.js';
import {
  makeStageController,
  type StageController,
  type StagedService,
} from './stage-controller.js';
import { makeStageLock } from './stage-lock.js';

/** Interval between two samples of the demand. */
const samplePeriodMs = 200;

/** Dependencies of the control of engine stages. */
export interface EngineStagesDeps {
  readonly backends: Pick<BackendClient, 'report' | 'order'>;
  readonly store: Store;
  readonly lockKey: string;
  readonly holder: string;
  readonly leaseMs: number;
  readonly isResponsible: () => boolean;
  readonly listServices: () => readonly ServiceInfo[];
  /** Ready servers of a service, including engines that change their stage. */
  readonly listReady: (service: string) => readonly BackendServer[];
  readonly listAnnounced: () => ReadonlySet<string>;
  readonly announce: () => void;
  readonly ledger: EngineLedger;
  readonly timing: StreamTiming;
  readonly rates: EngineRates;
  /** Set if engines are chosen by their speed. */
  readonly getSpeed?: GetEngineSpeed;
  readonly log: LogRouterEvent;
  readonly now: () => number;
}

/**
 * Measures the demand of each service with engines and lets the controller change stages.
 *
 * @example
 * makeEngineStages(deps).tick(now);
 */
export const makeEngineStages = (deps: EngineStagesDeps): StageController => {
  const averages = new Map<string, DemandAverage>();
  let nextSampleAt = 0;

  const getAverage = (service: string): DemandAverage => {
    const average = averages.get(service) ?? makeDemandAverage();
    averages.set(service, average);
    return average;
  };

  const sampleDemand = (now: number): void =>
    deps.listServices().forEach(({ name, engine }) => {
      if (!engine) return;
      let usedTokens = 0;
      let streams = 0;
      deps.listReady(name).forEach((server) => {
        if (server.stage !== 'decode') return;
        const load = deps.ledger.getTotal(server.id, now);
        usedTokens += load.tokens;
        streams += load.requests;
      });
      getAverage(name).add(
        {
          usedTokens,
          streams,
          streamMs: deps.timing.getStreamMs(),
          promptTokens: deps.timing.getPromptTokens(),
          prefillTokensPerMs: deps.rates.getPrefillTokensPerMs(),
        },
        engine,
        now,
      );
    });

  const listStagedServices = (): StagedService[] =>
    deps
      .listServices()
      .flatMap(({ name, engine }) =>
        engine ? [{ engine, servers: deps.listReady(name), demand: getAverage(name).get() }] : [],
      );

  const controller = makeStageController({
    backends: deps.backends,
    lock: makeStageLock({
      store: deps.store,
      key: deps.lockKey,
      holder: deps.holder,
      leaseMs: deps.leaseMs,
      log: deps.log,
      now: deps.now,
      wallNow: Date.now,
    }),
    holder: deps.holder,
    isResponsible: deps.isResponsible,
    listServices: listStagedServices,
    ...(deps.getSpeed === undefined ? {} : { getSpeed: deps.getSpeed }),
    listAnnounced: deps.listAnnounced,
    announce: deps.announce,
    log: deps.log,
    now: deps.now,
  });

  return {
    tick: (now) => {
      if (deps.isResponsible() && now >= nextSampleAt) {
        nextSampleAt = now + samplePeriodMs;
        sampleDemand(now);
      }
      controller.tick(now);
    },
    listChanging: controller.listChanging,
    findChange: controller.findChange,
  };
};
