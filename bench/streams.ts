/**
 * Checks that streams stay at one software version under faults, then exits:
 * `node dist/bench/streams.js --gateways 6 --rows crash,kill+cut`.
 */
import { Command } from 'commander';
import { runStreams } from './soak/stream-run.js';
import type { StreamFault } from './soak/stream-run.js';

const ALL_ROWS =
  'none,stop,crash,restart,leave,cut,kill,kill-all,pause+cut,crash+kill+cut,crash+cut+outage,restart+cut+outage';

const program = new Command('streams')
  .description('checks streams at gateway processes on loopback, with backends of two versions')
  .option('--rows <list>', 'comma-separated rows, each of faults joined by +', ALL_ROWS)
  .option('--gateways <count>', 'gateways', '6')
  .option('--agents', 'run a slot agent next to each backend')
  .option('--engines', 'backends are engines also without slot agents')
  .option('--runs <count>', 'runs of each row', '1')
  .option('--from <seed>', 'first seed', '1')
  .option('--seconds <count>', 'duration of the faults', '12')
  .option('--port <base>', 'first port', '25000');
program.parse();
const options = program.opts<Record<string, string | boolean>>();
// The processes that a run started are ended when this one exits.
process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));
let failed = 0;
for (const row of String(options['rows']).split(',')) {
  for (let run = 0; run < Number(options['runs']); run += 1) {
    const faults = row.split('+').filter((fault) => fault !== 'none') as StreamFault[];
    const report = await runStreams({
      faults: new Set(faults),
      gateways: Number(options['gateways']),
      hasAgents: options['agents'] === true,
      hasEngines: options['agents'] === true || options['engines'] === true,
      seed: Number(options['from']) + run,
      lengthMs: Number(options['seconds']) * 1_000,
      basePort: Number(options['port']) + (run % 10) * 10,
    });
    failed += report.mixed + report.gaps;
    console.log(row, JSON.stringify(report));
  }
}
console.log(`${failed} streams with two versions or gaps`);
process.exit(failed === 0 ? 0 : 1);
