// Configurations as the operator writes them, with routes as on the sheet of saaremets-tellimus.
const engine = {
  Slots: 48,
  KvCapacity: 35962,
  KvTokenBytes: 131072,
  LinkMbps: 1100000,
  Stride: 18,
  HandleTtlS: 0.5,
  RoleSwitchS: 6,
  PinMs: 4000,
  HoldMs: 2000,
  Models: [{ Name: 'm' }],
};

export const host = 'ficu95.example';
export const apiKey = 'i9n73hh2b9wu3fexd9dn';

/** @param confirmService - service to which the route of order confirmations leads */
export const makeConfig = (version, confirmService = 'order-desk') => ({
  Version: version,
  Routes: [
    {
      Name: 'material-allocation',
      Host: host,
      PathPrefix: '/allocate/',
      Kind: 'stream',
      TimeoutMs: 14000,
      TargetLatencyMs: 900,
      TargetGapMs: 300,
      Priority: 1,
      Service: 'spec-readers',
      Attempts: 2,
      Sticky: true,
      Resumable: true,
    },
    {
      Name: 'order-confirm',
      Host: host,
      PathPrefix: '/confirm/',
      Kind: 'non_idempotent',
      TimeoutMs: 800,
      TargetLatencyMs: 121,
      Priority: 2,
      Service: confirmService,
      Attempts: 1,
    },
  ],
  Services: [
    { Name: 'spec-readers', HealthPath: '/health', MaxConnections: 300, Engine: engine },
    { Name: 'order-desk', HealthPath: '/health', MaxConnections: 110 },
    { Name: 'order-desk-new', HealthPath: '/health', MaxConnections: 110 },
  ],
  Limits: {
    MaxHeaderBytes: 16384,
    MaxBodyBytes: 4194304,
    HeaderTimeoutMs: 3000,
    IdleTimeoutMs: 15000,
  },
  Tenants: [
    {
      Name: 'hule930',
      ApiKeys: [apiKey],
      Priority: 1,
      Unit: 'token_stream',
      PlainTokens: 200,
      RatePerS: 61250,
      Burst: 61250,
    },
  ],
});
