/** Streams that callers resume after a rollout of a newer version and a kill of all gateways. */
import test from 'ava';
import type { AgentHolders } from '../src/gateway/streams/agent-holders.js';
import type { OriginReplication } from '../src/gateway/streams/origin-replication.js';
import { UNIDENTIFIED_VERSION } from '../src/streams/software-version.js';
import { runStreamFaults } from './support/stream-faults.js';
import type { StreamRunOptions } from './support/stream-faults.js';

const BASE = {
  backends: 8,
  gateways: 6,
  lengthMs: 24_000,
  faultGapMs: [7_000, 8_000],
  cutShare: 0,
  maxAttempts: 12,
} satisfies Partial<StreamRunOptions>;

test('no stream that is resumed after twice the timeout of its route is joined from two versions', async (t) => {
  for (const seed of [1, 2, 3]) {
    const { mixed, gaps, resumed } = await runStreamFaults({
      ...BASE,
      seed,
      faults: ['replaceAtOnceAndKill'],
      faultGapMs: [15_000, 15_000],
      deadlineMs: 16_000,
      maxAttempts: 60,
    });
    t.deepEqual([mixed, gaps], [[], []], `seed ${seed}`);
    t.true(resumed > 50, `${resumed}`);
  }
});

const SEEDS = [1, 2, 3, 4, 5, 6];
const LEAST_SHARE = 0.9;

const ROLLOUTS: ReadonlyArray<readonly [string, Partial<StreamRunOptions>]> = [
  ['all backends leave with their agents', { faults: ['replaceAllAndKill'] }],
  ['half of the backends leave with their agents', { faults: ['replaceHalfAndKill'] }],
  [
    'all backends leave with their agents and processes are identified',
    { faults: ['replaceAllAndKill'], identification: { maxMs: 20, unansweredShare: 0 } },
  ],
];

/** Runs all seeds and returns the streams whose version served, and those of them that went on. */
async function runRollouts(options: Partial<StreamRunOptions>) {
  const runs = [];
  for (const seed of SEEDS) {
    runs.push(await runStreamFaults({ ...BASE, ...options, seed }));
  }
  return {
    servable: runs.reduce((sum, run) => sum + run.servable, 0),
    continued: runs.reduce((sum, run) => sum + run.servableContinued, 0),
    violations: runs.flatMap(({ mixed, gaps }) => [...mixed, ...gaps]),
  };
}

for (const [name, options] of ROLLOUTS) {
  test(`at least ${LEAST_SHARE} of the streams whose version serves go on although ${name} before all gateways are killed`, async (t) => {
    const { servable, continued, violations } = await runRollouts(options);
    t.deepEqual(violations, []);
    t.true(servable >= 100, `${servable}`);
    t.true(continued >= servable * LEAST_SHARE, `${continued} of ${servable}`);
  });
}

/** Private members of a gateway process that select the agents that hold origins. */
interface HolderInternals {
  readonly streams: {
    readonly replication: Pick<OriginReplication, 'replaceAgents'> & {
      readonly agentHolders: Pick<AgentHolders, 'holdersOf'>;
    };
  };
}

test('the check detects the fault: any agents hold origins, and nobody else when they leave', async (t) => {
  const injectFault: StreamRunOptions['injectFault'] = (process) => {
    const { replication } = (process as unknown as HolderInternals).streams;
    const { agentHolders } = replication;
    const holdersOf = agentHolders.holdersOf.bind(agentHolders);
    agentHolders.holdersOf = ({ key }, excludedHost) =>
      holdersOf({ key, service: '', version: UNIDENTIFIED_VERSION }, excludedHost);
    replication.replaceAgents = () => 0;
  };
  for (const [, options] of ROLLOUTS) {
    const { servable, continued } = await runRollouts({ ...options, injectFault });
    t.true(continued < servable * LEAST_SHARE, `${continued} of ${servable}`);
  }
});
