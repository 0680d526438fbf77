import type { EngineLoad } from '@hemlocksill/entry/engine-client.js';
import type { Pools, PoolsOptions } from '@hemlocksill/entry/controllers/pools.js';
import { chooseLeastLoaded, chooseOfTwo } from '@hemlocksill/placement/two-choices.js';
import type { BackendServer } from '@hemlocksill/types/config-document.js';

/** Ways of choosing without asking another VM. */
export type LocalPlacementPolicy = 'round-robin' | 'least-loaded' | 'two-choices';

const pollMs = 250;

const loadOf = (server: BackendServer, load: EngineLoad | undefined): number =>
  server.role === 'prefill' ? (load?.queuedTokens ?? 0) : (load?.running ?? 0);

/**
 * Makes a placement in which each VM chooses by itself, without a queue and without
 * reserving anything. It serves as the baseline.
 */
export const makeLocalPools =
  (policy: LocalPlacementPolicy) =>
  (opts: PoolsOptions): Pools => {
    const loads = new Map<string, EngineLoad>();
    const sent = new Map<string, number>();
    let turn = 0;

    const listServers = (model: string, role: string): BackendServer[] => {
      const leaving = opts.serverStates();
      const all = [...(opts.snapshot()?.document.backendServers.values() ?? [])];
      return all.filter((s) => s.model === model && s.role === role && !leaving[s.name]);
    };

    const choose = (model: string, role: string): BackendServer | undefined => {
      const servers = listServers(model, role);
      const weigh = (s: BackendServer) => loadOf(s, loads.get(s.name)) + (sent.get(s.name) ?? 0);
      if (policy === 'round-robin') {
        turn += 1;
        return servers[turn % Math.max(1, servers.length)];
      }
      if (policy === 'least-loaded')
        return chooseLeastLoaded(servers, (s) => loadOf(s, loads.get(s.name)));
      return chooseOfTwo(servers, weigh, Math.random);
    };

    const poll = async (): Promise<void> => {
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
            // What has been sent since the report counts on top of it.
            sent.set(s.name, 0);
            const maxMs = opts.snapshot()?.document.limits.maxRequestMs ?? 0;
            if (holds.isOk()) await opts.orphans.search(s.url, holds.value, maxMs);
          }),
      );
    };

    return {
      place: (model, req) => {
        const prefill = choose(model, 'prefill');
        const decode = choose(model, 'decode');
        if (!prefill || !decode)
          return Promise.resolve({
            kind: 'refused',
            reason: 'no-servers',
            retryAfterMs: 1_000,
          });
        sent.set(prefill.name, (sent.get(prefill.name) ?? 0) + req.promptTokens);
        sent.set(decode.name, (sent.get(decode.name) ?? 0) + 1);
        const end = { prefillEnded: () => {}, released: () => {}, failed: () => {} };
        return Promise.resolve({
          kind: 'assigned',
          prefill: prefill.name,
          decode: decode.name,
          end,
        });
      },
      describe: () => ({}),
      loads: () => loads,
      refresh: () => {},
      methods: {},
      start: (signal) => {
        const timer = setInterval(() => void poll(), pollMs);
        signal.addEventListener('abort', () => clearInterval(timer));
      },
    };
  };
