/** Worker thread of the seed search: runs the seeds that it receives one at a time. */
import { parentPort } from 'node:worker_threads';
import { runSeed } from './search.js';
import type { SeedRunOptions } from './search.js';

parentPort?.on('message', (run: SeedRunOptions) => {
  void runSeed(run).then((result) => parentPort?.postMessage(result));
});
