import type { BackendServer, EngineLimits, EngineStage } from '@hemlocksill/types/routing.js';
import type { BackendClient, OrderOutcome } from '@hemlocksill/types/routing-ports.js';
import {
  planStageChange,
  type GetEngineSpeed,
  type StageChange,
  type StageDemand,
} from '@hemlocksill/routing/balance-stages.js';
import type { LogRouterEvent } from './events.js';
import type { StageLock } from './stage-lock.js';

/** Time between the announcement of a change and its order, in which other VMs hear of it. */
const announceMs = 500;

/** Interval between two steps of the controller. */
const stepPeriodMs = 250;

/** Delay before an order is repeated that was not accepted. */
const orderRetryDelayMs = 3_000;

const maxOrderAttempts = 3;

/** Time for which an engine that did not follow its orders gets no other. */
const failedEngineCooldownMs = 30_000;

/** Interval between two reports of an engine that changes its stage. */
const reportPeriodMs = 1_000;

/** Time beyond the usual duration of a change after which it is given up. */
const changeTimeoutMs = 20_000;

/** Share of a service's engines that may change their stage at the same time. */
const maxChangingShare = 0.1;

/** A service with engines and its present demand. */
export interface StagedService {
  readonly engine: EngineLimits;
  /** Ready engines, including those that change their stage. */
  readonly servers: readonly BackendServer[];
  readonly demand: StageDemand | undefined;
}

/** Keeps the numbers of prefill and decode engines in proportion to the demand. */
export interface StageController {
  readonly tick: (now: number) => void;
  /** Ids of the engines that must get no new work because their stage changes. */
  readonly listChanging: () => readonly string[];
  /**
   * Asks an engine that rejected a run, although it had memory for it, whether it changes its stage. The VMs that
   * knew of the change may all have been lost; it is then announced again.
   */
  readonly findChange: (server: BackendServer, onDone: (isChanging: boolean) => void) => void;
}

/** Dependencies of the controller. */
export interface StageControllerDeps {
  readonly backends: Pick<BackendClient, 'report' | 'order'>;
  readonly lock: StageLock;
  readonly holder: string;
  /** Whether this VM is the one that should change stages. */
  readonly isResponsible: () => boolean;
  readonly listServices: () => readonly StagedService[];
  readonly getSpeed?: GetEngineSpeed;
  /** Ids of engines whose change was announced by any VM. */
  readonly listAnnounced: () => ReadonlySet<string>;
  /** Sends the list of changing engines to all VMs. */
  readonly announce: () => void;
  readonly log: LogRouterEvent;
  readonly now: () => number;
}

interface Change {
  readonly server: BackendServer;
  readonly stage: EngineStage;
  readonly stageChangeMs: number;
  /** Time from which the next call to the engine may be sent. */
  nextCallAt: number;
  orderAttempts: number;
  /** Time of the order that the engine accepted. */
  orderedAt: number | undefined;
  /** Whether another VM, which may be gone, ordered the change. */
  readonly isFound: boolean;
  isCalling: boolean;
}

/**
 * Makes the controller that orders engines to change their stage.
 *
 * A change is announced first, so that no VM sends the engine work that it would reject, and
 * withdrawn when the engine reports that it has finished.
 *
 * @example
 * const controller = makeStageController(deps);
 * controller.tick(now);
 */
export const makeStageController = (deps: StageControllerDeps): StageController => {
  const { log } = deps;
  const changes = new Map<string, Change>();
  const blockedUntil = new Map<string, number>();
  let nextStepAt = 0;

  const finish = (change: Change, outcome: string): void => {
    if (changes.get(change.server.id) !== change) return;
    changes.delete(change.server.id);
    log(2504, { server: change.server.id, stage: change.stage, outcome });
    deps.announce();
  };

  const giveUp = (change: Change, reason: string): void => {
    blockedUntil.set(change.server.id, deps.now() + failedEngineCooldownMs);
    finish(change, reason);
  };

  const onOrderOutcome = (change: Change, outcome: OrderOutcome): void => {
    const now = deps.now();
    log(2503, { server: change.server.id, stage: change.stage, outcome });
    if (outcome === 'accepted') {
      change.orderedAt = now;
      change.nextCallAt = now + change.stageChangeMs;
    } else if (outcome === 'holds') finish(change, 'holds');
    else if (outcome === 'fenced') {
      deps.lock.abandon();
      giveUp(change, 'fenced');
    } else if (change.orderAttempts >= maxOrderAttempts) giveUp(change, outcome);
    else change.nextCallAt = now + orderRetryDelayMs;
  };

  /** Orders the change, if the engine's report allows it and the lock is still held. */
  const orderChange = (change: Change): void => {
    change.isCalling = true;
    deps.backends.report(change.server, (report) => {
      change.isCalling = false;
      const now = deps.now();
      const fence = deps.lock.getFence();
      change.nextCallAt = now + reportPeriodMs;
      if (!report) {
        change.orderAttempts += 1;
        if (change.orderAttempts >= maxOrderAttempts) giveUp(change, 'no report');
        return;
      }
      if (report.isBusy || fence === undefined) return;
      if (report.stage === change.stage) {
        finish(change, 'holds');
        return;
      }
      change.isCalling = true;
      change.orderAttempts += 1;
      deps.backends.order(
        change.server,
        {
          stage: change.stage,
          holder: deps.holder,
          fence,
          expectedOrders: report.acceptedOrders,
        },
        (outcome) => {
          change.isCalling = false;
          onOrderOutcome(change, outcome);
        },
      );
    });
  };

  const checkCompletion = (change: Change): void => {
    change.isCalling = true;
    deps.backends.report(change.server, (report) => {
      change.isCalling = false;
      const now = deps.now();
      change.nextCallAt = now + reportPeriodMs;
      const hasEnded = report && !report.isBusy;
      if (hasEnded && (change.isFound || report.stage === change.stage)) finish(change, 'done');
      else if (now - (change.orderedAt ?? now) > change.stageChangeMs + changeTimeoutMs)
        giveUp(change, 'not finished in time');
    });
  };

  const planChanges = (service: StagedService, now: number): void => {
    const { engine, servers, demand } = service;
    if (engine.stageChangeMs <= 0) return;
    // The lock is kept before it is needed, as its holder may give orders only after a wait.
    deps.lock.keep();
    const changing = new Set([...changes.keys(), ...deps.listAnnounced()]);
    const count = servers.filter((server) => changing.has(server.id)).length;
    if (count >= Math.max(1, Math.floor(servers.length * maxChangingShare))) return;
    blockedUntil.forEach((until, id) => {
      if (until <= now) blockedUntil.delete(id);
    });
    const blocked = new Set(blockedUntil.keys());
    const plan: StageChange | undefined = planStageChange(
      servers,
      changing,
      blocked,
      demand,
      deps.getSpeed,
    );
    if (!plan) return;
    if (deps.lock.getFence() === undefined) return;
    changes.set(plan.server.id, {
      ...plan,
      stageChangeMs: engine.stageChangeMs,
      nextCallAt: now + announceMs,
      orderAttempts: 0,
      orderedAt: undefined,
      isFound: false,
      isCalling: false,
    });
    log(2505, {
      server: plan.server.id,
      stage: plan.stage,
      decodeEngines: demand && Number(demand.decodeEngines.toFixed(2)),
      prefillEngines: demand && Number(demand.prefillEngines.toFixed(2)),
      engines: servers.length,
    });
    deps.announce();
  };

  const step = (now: number): void => {
    const services = deps.listServices();
    const ready = new Set(services.flatMap(({ servers }) => servers.map((server) => server.id)));
    changes.forEach((change) => {
      if (!ready.has(change.server.id)) finish(change, 'engine gone');
      else if (!deps.isResponsible() && change.orderedAt === undefined && !change.isCalling)
        finish(change, 'another VM is responsible');
    });
    if (deps.isResponsible()) services.forEach((service) => planChanges(service, now));
    const hasPending = [...changes.values()].some((change) => change.orderedAt === undefined);
    if (hasPending) deps.lock.keep();
    changes.forEach((change) => {
      if (change.isCalling || now < change.nextCallAt) return;
      if (change.orderedAt !== undefined) checkCompletion(change);
      else if (deps.lock.getFence() !== undefined) orderChange(change);
    });
  };

  return {
    tick: (now) => {
      if (now < nextStepAt) return;
      nextStepAt = now + stepPeriodMs;
      step(now);
    },
    listChanging: () => [...changes.keys()],
    findChange: (server, onDone) => {
      const stageChangeMs =
        deps.listServices().find(({ servers }) => servers.some(({ id }) => id === server.id))
          ?.engine.stageChangeMs ?? 0;
      if (stageChangeMs <= 0 || changes.has(server.id) || deps.listAnnounced().has(server.id)) {
        onDone(stageChangeMs > 0);
        return;
      }
      deps.backends.report(server, (report) => {
        const isChanging = report?.isBusy === true && report.startedAt === server.startedAt;
        if (isChanging && !changes.has(server.id)) {
          const now = deps.now();
          const stage = server.stage === 'decode' ? 'prefill' : 'decode';
          changes.set(server.id, {
            server,
            stage,
            stageChangeMs,
            nextCallAt: now + reportPeriodMs,
            orderAttempts: 0,
            orderedAt: now,
            isFound: true,
            isCalling: false,
          });
          log(2505, { server: server.id, stage, source: 'report' });
          deps.announce();
        }
        onDone(isChanging);
      });
    },
  };
};
