/**
 * Checks what gateways do with requests that arrive on kept connections as the idle timeout ends,
 * then exits: `node dist/bench/kept-connections.js --rows calm,pause-350 --runs 3`.
 */
import { Command } from 'commander';
import { runKeptConnections } from './soak/kept-connection-run.js';
import type { KeptConnectionRunOptions } from './soak/kept-connection-run.js';

/** What the gateways of a row undergo. */
type RowTrouble = Pick<
  KeptConnectionRunOptions,
  'idleTimeoutsMs' | 'changeIntervalMs' | 'pauseMs' | 'pausePeriodMs'
>;

const CALM: RowTrouble = {
  idleTimeoutsMs: [1_000],
  changeIntervalMs: 1_000,
  pauseMs: 0,
  pausePeriodMs: 1_500,
};
/** Idle timeouts of the row in which each second brings another. */
const CHANGING_IDLE_TIMEOUTS_MS = [1_000, 400, 1_700, 700];
const ROWS: Readonly<Record<string, RowTrouble>> = {
  calm: CALM,
  'pause-50': { ...CALM, pauseMs: 50 },
  'pause-350': { ...CALM, pauseMs: 350 },
  'pause-600': { ...CALM, pauseMs: 600 },
  'run-24-of-100': { ...CALM, pauseMs: 76, pausePeriodMs: 100 },
  'idle-timeout-changes': { ...CALM, idleTimeoutsMs: CHANGING_IDLE_TIMEOUTS_MS },
};

const program = new Command('kept-connections')
  .description('checks requests on kept connections that arrive as the idle timeout ends')
  .option('--rows <list>', 'comma-separated rows', Object.keys(ROWS).join(','))
  .option('--gateways <count>', 'gateways', '2')
  .option('--callers <count>', 'callers of each gateway', '100')
  .option('--duration <time>', 'milliseconds of a run', '20000')
  .option('--runs <count>', 'runs of each row', '1')
  .option('--from <seed>', 'first seed', '1')
  .option('--port <base>', 'first port', '28000');
program.parse();
const options = program.opts<Record<string, string>>();
const number = (name: string) => Number(options[name]);
// The processes that a run started are ended when this one exits.
process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));
let failed = 0;
for (const row of options['rows']!.split(',')) {
  const trouble = ROWS[row];
  if (trouble === undefined) {
    throw new Error(`unknown row: ${row}`);
  }
  for (let run = 0; run < number('runs'); run += 1) {
    const report = await runKeptConnections({
      ...trouble,
      gateways: number('gateways'),
      callersPerGateway: number('callers'),
      durationMs: number('duration'),
      seed: number('from') + run,
      basePort: number('port') + (run % 10) * 10,
    });
    failed += report.unanswered > 0 ? 1 : 0;
    console.log(row, JSON.stringify(report));
  }
}
console.log(`${failed} runs with whole requests that got no response`);
process.exit(failed === 0 ? 0 : 1);
