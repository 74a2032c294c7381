/**
 * Measures gateways beside a backend that responds with bytes without end, then exits:
 * `node dist/bench/endless.js --rows one-byte-chunks,interim`.
 */
import { Command } from 'commander';
import { runEndless } from './soak/endless-run.js';
import type { EndlessBytes } from './soak/endless-run.js';

const ALL_ROWS = 'none,one-byte-chunks,kilobyte-chunks,interim,small-events,comments,unframed';

const program = new Command('endless')
  .description('measures gateway processes beside a backend that responds without end')
  .option('--rows <list>', `comma-separated rows: ${ALL_ROWS}`, ALL_ROWS)
  .option('--gateways <count>', 'gateways', '2')
  .option('--bytes-per-s <count>', 'bytes per second on each connection', '4000000')
  .option('--seconds <count>', 'duration of a row', '8')
  .option('--port <base>', 'first port', '27500');
program.parse();
const options = program.opts<Record<string, string>>();
// The processes that a run started are ended when this one exits.
process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));
for (const bytes of options['rows']!.split(',') as EndlessBytes[]) {
  const report = await runEndless({
    bytes,
    gateways: Number(options['gateways']),
    bytesPerS: Number(options['bytesPerS']),
    durationMs: Number(options['seconds']) * 1_000,
    basePort: Number(options['port']),
  });
  console.log(bytes, JSON.stringify(report));
}
process.exit(0);
