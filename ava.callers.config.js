/** Tests with crowds of callers, which measure the router process: one at a time, beside nothing else. */
export default {
  files: ['platform/dist/misbehaving-callers/*.test.js'],
  timeout: '5m',
  concurrency: 1,
  serial: true,
};
