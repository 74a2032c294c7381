/** Worker thread pool; each thread runs one job at a time. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

/**
 * Distributes `jobs` over up to `threads` worker threads that run `script`. The script must send
 * exactly one result message per job. Calls `onResult` with each result; if it returns false, no
 * further jobs are started. Rejects if a thread fails.
 */
export async function runOnThreads<Job, Result>(
  script: URL,
  jobs: readonly Job[],
  threads: number,
  onResult: (result: Result) => boolean,
): Promise<void> {
  const pendingJobs = [...jobs];
  const workers = Array.from({ length: Math.min(threads, jobs.length) }, () => new Worker(script));
  await Promise.all(
    workers.map(async (worker) => {
      for (let job = pendingJobs.shift(); job !== undefined; job = pendingJobs.shift()) {
        const response = once(worker, 'message');
        worker.postMessage(job);
        const [result] = (await response) as [Result];
        if (!onResult(result)) {
          pendingJobs.length = 0;
        }
      }
      await worker.terminate();
    }),
  );
}
