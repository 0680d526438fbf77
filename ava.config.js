export default {
  files: ['packages/*/dist/**/*.test.js'],
  timeout: '3m',
  concurrency: 4,
};
