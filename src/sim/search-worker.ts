/** A thread of the search: runs the seeds that it is sent, one after the other. */
import { parentPort } from 'node:worker_threads';
import { runSeed } from './search.js';
import type { SeedRun } from './search.js';

parentPort?.on('message', (run: SeedRun) => {
  void runSeed(run).then((result) => parentPort?.postMessage(result));
});
