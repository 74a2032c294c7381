/** Worker thread that runs experiments one after the other, one seed per message. */
import { parentPort } from 'node:worker_threads';
import type { Experiment } from './experiment.js';
import { runExperiment } from './run-experiment.js';

/** Message to a worker: an experiment and the seed to run it with. */
export interface ExperimentJob {
  readonly experiment: Experiment;
  readonly seed: number;
}

parentPort?.on('message', ({ experiment, seed }: ExperimentJob) => {
  void runExperiment(experiment, seed).then((result) => parentPort?.postMessage(result));
});
