export default {
  files: ['{packages/*,platform}/dist/**/*.test.js'],
  timeout: '3m',
  concurrency: 4,
};
