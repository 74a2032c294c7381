/** Worker thread of the seed search: runs the seeds that it receives one at a time. */
import { parentPort } from 'node:worker_threads';
import { runSeed } from './search.js';
import type { SeedRun } from './search.js';

parentPort?.on('message', (run: SeedRun) => {
  void runSeed(run).then((result) => parentPort?.postMessage(result));
});
