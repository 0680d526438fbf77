import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { BackendClient } from '@hemlocksill/types/routing-ports.js';
import type { EngineLedger } from '@hemlocksill/routing/engine-ledger.js';
import type { PlacementView } from '@hemlocksill/routing/place-work.js';
import type { ServerHealth } from '@hemlocksill/routing/server-health.js';
import type { StreamQueue } from '@hemlocksill/routing/stream-queue.js';
import type { StreamTiming } from '@hemlocksill/routing/stream-timing.js';
import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/** What the runs of requests share. */
export interface RunDeps {
  readonly backends: BackendClient;
  readonly health: ServerHealth;
  /** Work at engines, of all VMs. */
  readonly engineLedger: EngineLedger;
  /** Requests of this VM at plain services. */
  readonly plainLedger: EngineLedger;
  readonly queue: StreamQueue;
  readonly pace: StreamTiming;
  /** Predicts when a service has memory for some tokens, after all that waits at any VM. */
  readonly predictFreeMs: (service: string, tokens: number, now: number) => number;
  readonly listReady: (service: string) => readonly BackendServer[];
  readonly view: () => PlacementView;
  /** Takes a repeated send out of this VM's share for a service. */
  readonly takeRepeat: (service: string) => boolean;
  /** Tells that work was placed at an engine, or has left it. */
  readonly noteLoadChange: (server: BackendServer) => void;
  readonly log: LogRouterEvent;
  readonly metrics: RouterMetrics;
  /** Milliseconds on a clock that never goes back. */
  readonly now: () => number;
}
