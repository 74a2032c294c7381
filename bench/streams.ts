/**
 * Checks that streams stay at one software version under faults, then exits:
 * `node dist/bench/streams.js --gateways 6 --rows crash,kill+cut`.
 */
import { Command } from 'commander';
import { runStreams } from './soak/stream-run.js';
import type { AgentMode, StreamFault } from './soak/stream-run.js';

const ALL_ROWS =
  'none,stop,crash,restart,leave,cut,kill,kill-all,pause+cut,crash+kill+cut,crash+cut+outage,restart+cut+outage';

function agentModeOf(value: string | boolean | undefined): AgentMode {
  if (value === undefined) {
    return 'none';
  }
  return value === 'move' ? 'move' : 'stay';
}

const program = new Command('streams')
  .description('checks streams at gateway processes on loopback, with backends of two versions')
  .option('--rows <list>', 'comma-separated rows, each of faults joined by +', ALL_ROWS)
  .option('--gateways <count>', 'gateways', '6')
  .option('--agents [mode]', 'slot agents next to the backends: stay, or move with replaced ones')
  .option('--lag <ms>', 'replace+kill-all: from the end of the last old backend to the kill', '500')
  .option('--drain <ms>', 'time for which a replaced backend drains before it ends', '1500')
  .option('--same-ids', 'backends keep the ids of those that they replace')
  .option('--unnamed', 'callers do not name the stream that they resume')
  .option('--route-timeout <ms>', 'timeout of the route', '5000')
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
      agents: agentModeOf(options['agents']),
      hasEngines: options['agents'] !== undefined || options['engines'] === true,
      killLagMs: Number(options['lag']),
      replacedDrainMs: Number(options['drain']),
      keepsIds: options['sameIds'] === true,
      namesStreams: options['unnamed'] !== true,
      routeTimeoutMs: Number(options['routeTimeout']),
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
