import {
  startStandInPlatform,
  waitUntilReady,
} from '../../platform/dist/fakes/stand-in-platform.js';

/** Settings as the template of the deploy file makes them for a small deployment. */
const settings = {
  'origin-records': 'true',
  'first-start': 'true',
  'grace-s': '8',
  'retry-ratio': '0.2',
  'retry-slack': '56',
  'retry-window-s': '10',
  'quota-slack': '140000',
  'quota-window-s': '8',
  'config-apply-ms': '2000',
  'lease-ms': '3000',
  'drain-ms': '2000',
  descriptors: '4100',
};

const sections = `
[admission]
classes = true

[placement]
plain = expected-time
streams = engine-rates
share-failures = true
`;

const tenants = [
  {
    Name: 'forge',
    ApiKeys: ['k1'],
    Priority: 1,
    Unit: 'token_stream',
    PlainTokens: 200,
    RatePerS: 1_000_000,
    Burst: 1_000_000,
  },
];

const limits = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 4_194_304,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

/** Starts the stand-in of the platform's store with a configuration. */
export const startPlatform = async (routes, services) => {
  const platform = await startStandInPlatform();
  // A script that takes too long ends what it has started, and could not run.
  process.once('SIGTERM', () => platform.close().finally(() => process.exit(2)));
  platform.store.put('op/config', {
    Version: 1,
    Routes: routes,
    Services: services,
    Limits: limits,
    Tenants: tenants,
  });
  return platform;
};

/** Starts routers with the command of the deploy file; throws if one does not get ready. */
export const startRouters = async (platform, names) => {
  const routers = await Promise.all(
    names.map((name) => platform.startRouter(name, settings, sections)),
  );
  const ready = await Promise.all(routers.map((router) => waitUntilReady(platform, router)));
  if (!ready.every(Boolean)) throw new Error('a router did not get ready');
  return routers;
};

/** Writes the entry of a runner. */
export const register = (platform, service, { id, port, born }, slots, fields = {}) =>
  platform.store.put(`servers/${id}`, {
    Service: service,
    Address: `127.0.0.1:${port}`,
    Zone: 'north-a',
    Version: 'v1',
    Slots: slots,
    State: 'ready',
    ColdRemainingMs: 0,
    Sequence: 1,
    born,
    ...fields,
  });
