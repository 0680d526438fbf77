import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { BackendClient } from '@hemlocksill/types/routing-ports.js';
import type { EngineLedger } from '@hemlocksill/routing/engine-ledger.js';
import type { EngineRates } from '@hemlocksill/routing/engine-rates.js';
import type { PlacementView } from '@hemlocksill/routing/place-work.js';
import type { ServerHealth } from '@hemlocksill/routing/server-health.js';
import type { StreamAdmission } from '@hemlocksill/routing/stream-admission.js';
import type { StreamQueue } from '@hemlocksill/routing/stream-queue.js';
import type { StreamTiming } from '@hemlocksill/routing/stream-timing.js';
import type { CrashWatch } from './crash-watch.js';
import type { LogRouterEvent } from './events.js';
import type { LimitController } from './limit-controller.js';
import type { OriginController } from './origin-controller.js';
import type { ResponseEnds } from './response-ends.js';
import type { RouterMetrics } from './router-metrics.js';

/** Dependencies shared by all runs of requests. */
export interface RunDeps {
  readonly backends: BackendClient;
  readonly health: ServerHealth;
  /** Load that all VMs have placed at the engines. */
  readonly engineLedger: EngineLedger;
  /** Requests of this VM at services without engines. */
  readonly plainLedger: EngineLedger;
  readonly queue: StreamQueue;
  /** The same queue if the streams of all VMs have one order. */
  readonly admission: StreamAdmission | undefined;
  /** Tells the VMs of this data centre that a stream waits here. */
  readonly notifyWaiting: () => void;
  readonly timing: StreamTiming;
  readonly rates: EngineRates;
  /**
   * Predicts in how many milliseconds an engine of a service has memory for `tokens`, behind all streams
   * queued at any VM, and room under its limit; only an engine of `softwareVersion`, if it is given.
   */
  readonly predictEngineWaitMs: (
    service: string,
    tokens: number,
    now: number,
    softwareVersion?: string,
  ) => number;
  /** Tokens that streams at any VM wait for which have begun, by software version, before those of a priority. */
  readonly countBoundTokens: (service: string, priority: number) => ReadonlyMap<string, number>;
  /** Tells the VMs near these engines that a stream which has begun waits for their memory. */
  readonly notifyBoundWaiting: (engines: readonly BackendServer[]) => void;
  readonly limits: LimitController;
  readonly listReady: (service: string) => readonly BackendServer[];
  /** Records that a later instance, which started at `foundStartedAt`, answers for a listed one. */
  readonly recordLaterInstance: (server: BackendServer, foundStartedAt: number) => void;
  readonly getPlacementView: () => PlacementView;
  /** Takes one retry from this VM's budget for a service; false when the budget is spent. */
  readonly tryTakeRetry: (service: string) => boolean;
  /** Gives back a retry that was taken from the budget of a service and not sent. */
  readonly returnRetry: (service: string) => void;
  /** Finds out whether an engine that rejected a run changes its stage, and tells the other VMs if so. */
  readonly findStageChange: (server: BackendServer, onDone: (isChanging: boolean) => void) => void;
  /** Records that a prefill engine failed conclusively, and tells the other VMs. */
  readonly recordFailingPrefill: (
    server: BackendServer,
    outcome: 'result-lost' | 'prompt-rejected',
  ) => void;
  /** Records a malformed answer, and tells the other VMs if it isn't the first without a whole one between. */
  readonly recordFaultyAnswer: (server: BackendServer) => void;
  /** Notifies the other VMs that work was placed at an engine or has ended there. */
  readonly notifyLoadChange: (server: BackendServer) => void;
  readonly crashWatch: CrashWatch;
  readonly responseEnds: ResponseEnds;
  readonly origins: Pick<OriginController, 'recordBegin' | 'isRecorded'>;
  readonly log: LogRouterEvent;
  readonly metrics: RouterMetrics;
  /** Milliseconds on a monotonic clock. */
  readonly now: () => number;
}
