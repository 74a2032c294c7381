/**
 * Checks that requests are answered while sound backends fall silent, then exits:
 * `node dist/bench/silent-backends.js --gateways 2 --rows one,several+changes`. With `--processes`
 * the backends are processes that are paused: `--processes --rows one+replaced+changes --load 0.9`.
 */
import { Command } from 'commander';
import { runPauses } from './soak/paused-backend-run.js';
import type { LostRequest, PauseRunReport, PauseTrouble } from './soak/paused-backend-run.js';
import type { ObservedEnding } from './soak/silence-caller.js';
import { runSilences } from './soak/silence-run.js';
import type { SilenceRunReport, SilenceTrouble } from './soak/silence-run.js';

const ALL_ROWS = 'none,changes,one,several,one+changes,several+changes,several+changes+agents';
const ALL_PROCESS_ROWS =
  'one,one+changes,several+changes,rack+changes,one+again+changes,one+replaced+changes,one+replaced+changes+agents';
/** Maximum number of lost requests that are printed for each run. */
const MAX_PRINTED = 6;

const program = new Command('silent-backends')
  .description('checks gateway processes on loopback whose sound backends fall silent')
  .option('--rows <list>', 'rows, each of kinds of trouble joined by +')
  .option('--processes', 'backends in processes of their own, which stand still')
  .option('--load <fraction>', 'fraction of the slots in use, with --processes', '0.5')
  .option('--gateways <count>', 'gateways', '2')
  .option('--runs <count>', 'runs of each row', '1')
  .option('--from <seed>', 'first seed', '1')
  .option('--seconds <count>', 'duration of the trouble', '24')
  .option('--port <base>', 'first port', '29000');
program.parse();
const { processes: hasProcesses = false, ...options } = program.opts<
  Record<string, string> & { processes?: boolean }
>();
// The processes that a run started are ended when this one exits.
process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));

type Report = SilenceRunReport | PauseRunReport;

function print(row: string, seed: number, { lost, ...report }: Report): void {
  console.log(row, `seed ${seed}`, `${lost.length} lost`, JSON.stringify(report));
  const printed: ReadonlyArray<ObservedEnding | LostRequest> = lost.slice(0, MAX_PRINTED);
  for (const request of printed) {
    const { id, promptTokens, ending, tookMs, silentMs } = request;
    const times = `after ${Math.round(tookMs)} ms, ${Math.round(silentMs)} ms after its last byte`;
    console.log(`  LOST ${id} (${promptTokens} prompt tokens) ${ending} ${times}`);
    if ('logged' in request) {
      printExplanation(request);
    }
  }
}

function printExplanation({ logged, pauses }: LostRequest): void {
  for (const { status, reason, stage, endedBy, totalMs, configurationAgeMs, tries } of logged) {
    console.log(
      '   ',
      JSON.stringify({ status, reason, stage, endedBy, totalMs, configurationAgeMs }),
    );
    for (const { backend, outcome, detail, afterMs, afterEvent } of tries ?? []) {
      console.log('     ', JSON.stringify({ backend, outcome, detail, afterMs, afterEvent }));
    }
  }
  for (const { backend, fromMs, untilMs } of pauses) {
    console.log(`      ${backend} stood still ${Math.round(fromMs)} to ${Math.round(untilMs)} ms`);
  }
}

function runRow(row: string, seed: number, basePort: number): Promise<Report> {
  const kinds = row.split('+').filter((kind) => kind !== 'none');
  const common = {
    gateways: Number(options['gateways']),
    seed,
    lengthMs: Number(options['seconds']) * 1_000,
    basePort,
  };
  return hasProcesses
    ? runPauses({
        ...common,
        trouble: new Set(kinds as PauseTrouble[]),
        load: Number(options['load']),
      })
    : runSilences({ ...common, trouble: new Set(kinds as SilenceTrouble[]) });
}

let failed = 0;
const rows = options['rows'] ?? (hasProcesses ? ALL_PROCESS_ROWS : ALL_ROWS);
for (const row of rows.split(',')) {
  for (let run = 0; run < Number(options['runs']); run += 1) {
    const seed = Number(options['from']) + run;
    const report = await runRow(row, seed, Number(options['port']) + (run % 10) * 10);
    failed += report.lost.length + report.repeatedUnsafe;
    print(row, seed, report);
  }
}
console.log(`${failed} requests without a complete response, or unsafe and run more than once`);
process.exit(failed === 0 ? 0 : 1);
