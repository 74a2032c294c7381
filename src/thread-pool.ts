/** Runs jobs on worker threads, each thread one job after the other. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

/**
 * Sends each of `jobs` to one of `threads` threads that run `script`, which answers each message by one.
 * `onResult` hears of each answer, and ends the run by returning false. Rejects if a thread fails.
 */
export async function runOnThreads<Job, Result>(
  script: URL,
  jobs: readonly Job[],
  threads: number,
  onResult: (result: Result) => boolean,
): Promise<void> {
  const waiting = [...jobs];
  const workers = Array.from({ length: Math.min(threads, jobs.length) }, () => new Worker(script));
  await Promise.all(
    workers.map(async (worker) => {
      for (let job = waiting.shift(); job !== undefined; job = waiting.shift()) {
        const answer = once(worker, 'message');
        worker.postMessage(job);
        const [result] = (await answer) as [Result];
        if (!onResult(result)) {
          waiting.length = 0;
        }
      }
      await worker.terminate();
    }),
  );
}
