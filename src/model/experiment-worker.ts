/** A thread of the experiments: plays the seeds that it is sent, one after the other. */
import { parentPort } from 'node:worker_threads';
import type { Experiment } from './experiment.js';
import { runExperiment } from './run-experiment.js';

/** One play. */
export interface ExperimentJob {
  readonly experiment: Experiment;
  readonly seed: number;
}

parentPort?.on('message', ({ experiment, seed }: ExperimentJob) => {
  void runExperiment(experiment, seed).then((run) => parentPort?.postMessage(run));
});
