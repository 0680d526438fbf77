export default {
  files: [
    '{packages/*,platform}/dist/**/*.test.js',
    // In a run of their own, see ava.callers.config.js.
    '!platform/dist/misbehaving-{callers,servers}/**',
  ],
  timeout: '3m',
  concurrency: 4,
};
