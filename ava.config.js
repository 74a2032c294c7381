/** Every test but those with crowds of clients, which run alone: see ava.clients.config.js. */
export default {
  files: ['dist/test/**/*.test.js', '!dist/test/clients/**'],
  timeout: '10m',
  workerThreads: false,
};
