import type {
  BackendServer,
  EngineLimits,
  Route,
  RoutingConfig,
} from '@hemlocksill/types/routing.js';

/** Returns a route with every field set; tests override the fields that matter. */
export const makeRoute = (overrides: Partial<Route>): Route => ({
  name: 'r',
  host: 'shop.example',
  pathPrefix: '/',
  kind: 'idempotent',
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  targetEventGapMs: 0,
  priority: 1,
  split: [{ service: 'desk', weight: 1 }],
  maxAttempts: 2,
  isPublic: false,
  isResumable: false,
  ...overrides,
});

/** Returns a configuration with the given routes. */
export const makeConfig = (routes: readonly Route[], version = 1): RoutingConfig => ({
  version,
  routes,
  services: [{ name: 'desk', maxConnections: 10, engine: undefined }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  workspaces: [
    {
      name: 'forge',
      keys: ['k1', 'k2'],
      priority: 1,
      ratePerS: 100,
      burst: 100,
      unit: 'tokens',
      defaultCost: 200,
    },
  ],
});

/** Returns a backend server with every field set. */
export const makeServer = (overrides: Partial<BackendServer>): BackendServer => ({
  id: 'i-1',
  startedAt: 1,
  service: 'desk',
  softwareVersion: 'v1',
  host: '10.0.0.1',
  port: 80,
  dataCentre: 'north-a',
  state: 'ready',
  slots: 6,
  stage: undefined,
  ...overrides,
});

/** Limits of a small engine. */
export const engineLimits: EngineLimits = {
  slots: 4,
  memoryTokens: 10_000,
  tokensPerEvent: 18,
  prefillTtlMs: 500,
  maxReservationMs: 2_000,
  stageChangeMs: 6_000,
};
