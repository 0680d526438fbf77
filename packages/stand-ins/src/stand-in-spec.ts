import { startEngine } from './engine-server.js';
import { defaultEngineOptions, type EngineOptions } from './engine-types.js';
import type { StandIn } from './http-server.js';
import { startService } from './service-server.js';
import { startStore } from './store-server.js';

/** Specification of a stand-in to start. */
export type StandInSpec =
  | { readonly kind: 'store' | 'service'; readonly port: number }
  | ({ readonly kind: 'engine' } & Partial<EngineOptions> &
      Pick<EngineOptions, 'name' | 'role' | 'port'>);

/** Starts a stand-in in this process. */
export const startStandIn = (spec: StandInSpec): Promise<StandIn> => {
  if (spec.kind === 'engine') return startEngine({ ...defaultEngineOptions, ...spec });
  return spec.kind === 'store' ? startStore(spec.port) : startService(spec.port);
};
