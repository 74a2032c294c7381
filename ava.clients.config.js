/** Tests with crowds of clients: one at a time, apart from other load. */
export default {
  files: ['dist/test/clients/**/*.test.js'],
  timeout: '10m',
  workerThreads: false,
  concurrency: 1,
  serial: true,
};
