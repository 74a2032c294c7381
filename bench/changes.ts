/**
 * Measures how long a configuration change takes to become active at gateways while the store
 * fails.
 */
import { Command } from 'commander';
import { runChange } from './soak/change-run.js';
import type { ChangeRunOptions } from './soak/change-run.js';

interface Options {
  readonly gateways: string;
  readonly runs: string;
  readonly port: string;
  readonly copies?: boolean;
}

type Scenario = Pick<
  ChangeRunOptions,
  'storeBehavior' | 'faultMs' | 'changeAfterMs' | 'idleMs' | 'backupAgeMs'
>;

const SCENARIOS: readonly Scenario[] = [
  { storeBehavior: 'answers', faultMs: 100, changeAfterMs: 100, idleMs: 1_000 },
  { storeBehavior: 'silent', faultMs: 500, changeAfterMs: 350, idleMs: 3_000 },
  { storeBehavior: 'silent', faultMs: 1_200, changeAfterMs: 350, idleMs: 3_000 },
  { storeBehavior: 'silent', faultMs: 4_000, changeAfterMs: 3_700, idleMs: 1_000 },
  { storeBehavior: 'refuses', faultMs: 4_000, changeAfterMs: 3_700, idleMs: 1_000 },
];

/**
 * The change follows the restore by 2.5 s: 0.5 s until operators rewrite what the backup lacks, and
 * then `changeAfterMs - faultMs`. The backup lacks several earlier changes per second.
 */
const RESTORE_SCENARIOS: readonly Scenario[] = [
  { storeBehavior: 'resets', faultMs: 1_000, changeAfterMs: 3_000, idleMs: 0, backupAgeMs: 3_000 },
  { storeBehavior: 'silent', faultMs: 3_000, changeAfterMs: 5_000, idleMs: 0, backupAgeMs: 3_000 },
  { storeBehavior: 'resets', faultMs: 400, changeAfterMs: 2_400, idleMs: 0, backupAgeMs: 5_000 },
  { storeBehavior: 'resets', faultMs: 3_000, changeAfterMs: 5_000, idleMs: 0, backupAgeMs: 10_000 },
];

const program = new Command()
  .description('Measures the time until a configuration change is active at every gateway.')
  .option('--gateways <count>', 'gateways', '12')
  .option('--runs <count>', 'runs of each scenario', '1')
  .option('--copies', 'restore the store from backups of earlier states')
  .option('--port <base>', 'first port', '24000')
  .parse();

const { gateways, runs, port, copies } = program.opts<Options>();
for (const scenario of copies ? RESTORE_SCENARIOS : SCENARIOS) {
  for (let run = 0; run < Number(runs); run += 1) {
    const options = { ...scenario, gateways: Number(gateways), basePort: Number(port) };
    const { activeAfterMs, neverActive } = await runChange(options);
    const [first, last] = [activeAfterMs[0], activeAfterMs.at(-1)].map((ms) =>
      Math.round(ms ?? Infinity),
    );
    const origin =
      scenario.backupAgeMs === undefined
        ? 'the fault'
        : `the change, with a backup ${scenario.backupAgeMs} ms old`;
    console.log(
      `${gateways} gateways, store ${scenario.storeBehavior} for ${scenario.faultMs} ms: active ${first} to ${last} ms after ${origin}, not active at ${neverActive}`,
    );
  }
}
process.exit(0);
