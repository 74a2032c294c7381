/**
 * Checks that a prompt part that crashes engines is kept from them under faults, then exits:
 * `node dist/bench/crash-parts.js --gateways 6 --rows none,two,kill --agents`.
 */
import { Command } from 'commander';
import { runCrashParts } from './soak/crash-part-run.js';
import type { CrashPartFault } from './soak/crash-part-run.js';

const ALL_ROWS = 'none,first,two,kill,kill-all,crash,renew,outage,copy,sound+crash,crash+kill+two';
const TOLERATED_LATE_SENDS = 3;
/** Requests that were on their way as the store was restored. */
const TOLERATED_AFTER_RESTORE = 1;

const program = new Command('crash-parts')
  .description('checks crashing prompt parts at gateway processes on loopback')
  .option('--rows <list>', 'comma-separated rows, each of faults joined by +', ALL_ROWS)
  .option('--gateways <count>', 'gateways', '6')
  .option('--agents', 'run a slot agent next to each engine')
  .option('--runs <count>', 'runs of each row', '1')
  .option('--from <seed>', 'first seed', '1')
  .option('--seconds <count>', 'duration of the outbreak', '15')
  .option('--port <base>', 'first port', '25200');
program.parse();
const options = program.opts<Record<string, string | boolean>>();
// The processes that a run started are ended when this one exits.
process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));
let failed = 0;
for (const row of String(options['rows']).split(',')) {
  for (let run = 0; run < Number(options['runs']); run += 1) {
    const faults = row.split('+').filter((fault) => fault !== 'none') as CrashPartFault[];
    const report = await runCrashParts({
      faults: new Set(faults),
      gateways: Number(options['gateways']),
      hasAgents: options['agents'] === true,
      seed: Number(options['from']) + run,
      lengthMs: Number(options['seconds']) * 1_000,
      basePort: Number(options['port']) + (run % 10) * 10,
    });
    const hasLateSends = report.late.some((late) => late > TOLERATED_LATE_SENDS);
    const hasForgotten = report.afterRestore.some((sends) => sends > TOLERATED_AFTER_RESTORE);
    failed += hasLateSends || hasForgotten ? 1 : 0;
    console.log(row, JSON.stringify(report));
  }
}
console.log(`${failed} runs with too many late sends`);
process.exit(failed === 0 ? 0 : 1);
