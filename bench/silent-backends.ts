/**
 * Checks that requests are answered while sound backends fall silent, then exits:
 * `node dist/bench/silent-backends.js --gateways 2 --rows one,several+changes`.
 */
import { Command } from 'commander';
import { runSilences } from './soak/silence-run.js';
import type { SilenceRunReport, SilenceTrouble } from './soak/silence-run.js';

const ALL_ROWS = 'none,changes,one,several,one+changes,several+changes,several+changes+agents';
/** Maximum number of lost requests that are printed for each run. */
const MAX_PRINTED = 6;

const program = new Command('silent-backends')
  .description('checks gateway processes on loopback whose sound backends fall silent')
  .option('--rows <list>', 'rows, each of kinds of trouble joined by +', ALL_ROWS)
  .option('--gateways <count>', 'gateways', '2')
  .option('--runs <count>', 'runs of each row', '1')
  .option('--from <seed>', 'first seed', '1')
  .option('--seconds <count>', 'duration of the trouble', '24')
  .option('--port <base>', 'first port', '29000');
program.parse();
const options = program.opts<Record<string, string>>();
// The processes that a run started are ended when this one exits.
process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));

function print(row: string, seed: number, { lost, ...report }: SilenceRunReport): void {
  console.log(row, `seed ${seed}`, `${lost.length} lost`, JSON.stringify(report));
  for (const { id, promptTokens, ending, tookMs, silentMs } of lost.slice(0, MAX_PRINTED)) {
    const times = `after ${Math.round(tookMs)} ms, ${Math.round(silentMs)} ms after its last byte`;
    console.log(`  LOST ${id} (${promptTokens} prompt tokens) ${ending} ${times}`);
  }
}

let failed = 0;
for (const row of options['rows']!.split(',')) {
  for (let run = 0; run < Number(options['runs']); run += 1) {
    const trouble = row.split('+').filter((kind) => kind !== 'none') as SilenceTrouble[];
    const seed = Number(options['from']) + run;
    const report = await runSilences({
      trouble: new Set(trouble),
      gateways: Number(options['gateways']),
      seed,
      lengthMs: Number(options['seconds']) * 1_000,
      basePort: Number(options['port']) + (run % 10) * 10,
    });
    failed += report.lost.length + report.repeatedUnsafe;
    print(row, seed, report);
  }
}
console.log(`${failed} requests without a complete response, or unsafe and run more than once`);
process.exit(failed === 0 ? 0 : 1);
