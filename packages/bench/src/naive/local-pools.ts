import type { EngineLoad } from '@hemlocksill/entry/engine-client.js';
import type { Pools, PoolsOptions } from '@hemlocksill/entry/controllers/pools.js';
import { chooseLeastLoaded, chooseOfTwo } from '@hemlocksill/placement/two-choices.js';
import type { BackendServer } from '@hemlocksill/types/config-document.js';

/** Policies by which a VM chooses backend servers without calling another VM. */
export type LocalPlacementPolicy = 'round-robin' | 'least-loaded' | 'two-choices';

const pollMs = 250;

const getReportedLoad = (server: BackendServer, load: EngineLoad | undefined): number =>
  server.role === 'prefill' ? (load?.queuedTokens ?? 0) : (load?.running ?? 0);

/**
 * Makes a placement in which each VM chooses servers on its own, without a queue and without
 * reservations. It serves as a baseline.
 */
export const makeLocalPools =
  (policy: LocalPlacementPolicy) =>
  (opts: PoolsOptions): Pools => {
    const loads = new Map<string, EngineLoad>();
    const sentSinceReport = new Map<string, number>();
    let roundRobinCounter = 0;

    const listServers = (model: string, role: string): BackendServer[] => {
      const states = opts.serverStates();
      const servers = [...(opts.snapshot()?.document.backendServers.values() ?? [])];
      return servers.filter((s) => s.model === model && s.role === role && !states[s.name]);
    };

    const chooseServer = (model: string, role: string): BackendServer | undefined => {
      const servers = listServers(model, role);
      const estimateLoad = (s: BackendServer) =>
        getReportedLoad(s, loads.get(s.name)) + (sentSinceReport.get(s.name) ?? 0);
      if (policy === 'round-robin') {
        roundRobinCounter += 1;
        return servers[roundRobinCounter % Math.max(1, servers.length)];
      }
      if (policy === 'least-loaded')
        return chooseLeastLoaded(servers, (s) => getReportedLoad(s, loads.get(s.name)));
      return chooseOfTwo(servers, estimateLoad, Math.random);
    };

    const pollServers = async (): Promise<void> => {
      const servers = [...(opts.snapshot()?.document.backendServers.values() ?? [])];
      await Promise.all(
        servers
          .filter((s) => s.role !== 'service')
          .map(async (s) => {
            const [load, holds] = await Promise.all([
              opts.engines.readLoad(s.url),
              opts.engines.readHolds(s.url),
            ]);
            if (load.isOk()) loads.set(s.name, load.value);
            // Requests sent from now on are not in this report and are added to its load.
            sentSinceReport.set(s.name, 0);
            const maxRequestMs = opts.snapshot()?.document.limits.maxRequestMs ?? 0;
            if (holds.isOk()) await opts.orphans.search(s.url, holds.value, maxRequestMs);
          }),
      );
    };

    return {
      place: (model, req) => {
        const prefill = chooseServer(model, 'prefill');
        const decode = chooseServer(model, 'decode');
        if (!prefill || !decode)
          return Promise.resolve({
            kind: 'refused',
            reason: 'no-servers',
            retryAfterMs: 1_000,
          });
        sentSinceReport.set(
          prefill.name,
          (sentSinceReport.get(prefill.name) ?? 0) + req.promptTokens,
        );
        sentSinceReport.set(decode.name, (sentSinceReport.get(decode.name) ?? 0) + 1);
        const reporter = { prefillEnded: () => {}, released: () => {}, failed: () => {} };
        return Promise.resolve({
          kind: 'assigned',
          prefill: prefill.name,
          decode: decode.name,
          reporter,
        });
      },
      describe: () => ({}),
      loads: () => loads,
      refresh: () => {},
      methods: {},
      start: (signal) => {
        const timer = setInterval(() => void pollServers(), pollMs);
        signal.addEventListener('abort', () => clearInterval(timer));
      },
    };
  };
