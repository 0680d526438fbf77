/** Tests with crowds of callers and faulty servers, which measure router processes: one at a time, beside nothing else. */
export default {
  files: ['platform/dist/misbehaving-{callers,servers}/*.test.js'],
  timeout: '5m',
  concurrency: 1,
  serial: true,
};
