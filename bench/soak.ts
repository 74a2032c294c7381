/** Runs soak tests, then exits: `node dist/bench/soak.js --seeds 50 --from 1`. */
import { Command } from 'commander';
import { FAULT_KINDS } from './soak/soak-faults.js';
import { PairTable } from './soak/soak-pairs.js';
import { runSoak } from './soak/soak-run.js';

const program = new Command('soak')
  .description('soak tests with random faults, against processes on loopback')
  .option('--from <seed>', 'first seed', '1')
  .option('--seeds <count>', 'number of seeds', '1')
  .option('--gateways <count>', 'gateways', '3')
  .option('--engines <count>', 'engines, each with its agent', '4')
  .option('--callers <count>', 'callers', '12')
  .option('--seconds <count>', 'duration of the faults, for each seed', '10')
  .option('--no-statements', 'backends send no statements (limits, draining, backoff)')
  .option('--no-silences', 'no sound backends fall silent')
  .option('--no-pairs', 'no pairs of faults are injected at once')
  .option('--malformed', 'backends and the store send malformed input')
  .option('--copies', 'restore the store from backups of earlier states')
  .option('--port <base>', 'first port', '21000');
program.parse();
const {
  statements: sendsStatements,
  silences: silencesBackends,
  pairs: injectsPairs,
  copies: restoresBackups = false,
  malformed: sendsMalformed = false,
  ...options
} = program.opts<
  Record<string, string> & {
    statements: boolean;
    silences: boolean;
    pairs: boolean;
    copies?: boolean;
    malformed?: boolean;
  }
>();
process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));
let failed = 0;
const pairs = new PairTable(FAULT_KINDS);
for (let offset = 0; offset < Number(options['seeds']); offset += 1) {
  const report = await runSoak({
    seed: Number(options['from']) + offset,
    sizes: { gateways: Number(options['gateways']), engines: Number(options['engines']) },
    callers: Number(options['callers']),
    sendsStatements,
    silencesBackends,
    injectsPairs,
    restoresBackups,
    sendsMalformed,
    faultsMs: Number(options['seconds']) * 1_000,
    basePort: Number(options['port']) + (offset % 50) * 10,
  });
  const { seed, requests, answered, faults, violations, folder } = report;
  console.log(`seed ${seed}: ${requests} requests, ${answered} served, ${faults.length} faults`);
  pairs.addSeed(faults);
  if (violations.length > 0) {
    failed += 1;
    console.log(
      `  logs in ${folder}\n  faults: ${faults.map(({ description }) => description).join('; ')}`,
    );
    console.log(
      violations
        .slice(0, 10)
        .map((violation) => `  VIOLATION ${violation}`)
        .join('\n'),
    );
  }
}
if (Number(options['seeds']) > 1) {
  const missing = pairs.missing.map((pair) => pair.join('+'));
  console.log(`seeds in which two kinds of faults were in effect together\n${pairs.format()}`);
  console.log(
    `${missing.length} pairs in no seed${missing.length > 0 ? `: ${missing.join(', ')}` : ''}`,
  );
}
console.log(`${options['seeds']} seeds, ${failed} with a violation`);
process.exit(failed === 0 ? 0 : 1);
