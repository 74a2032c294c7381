/**
 * Checks tenant quotas under faults, then exits: `node dist/bench/quotas.js --gateways 8 --runs 3`.
 */
import { Command } from 'commander';
import { runQuotas } from './soak/quota-run.js';
import type { QuotaFault } from './soak/quota-run.js';

const ALL_FAULTS: readonly QuotaFault[] = [
  'none',
  'pauses',
  'kill-all',
  'kill-in-turn',
  'kill-each-once',
  'lost-answers',
  'apart',
];

const program = new Command('quotas')
  .description('checks tenant quotas at gateway processes on loopback, under one fault at a time')
  .option(
    '--faults <list>',
    `comma-separated faults: ${ALL_FAULTS.join(', ')}`,
    ALL_FAULTS.join(','),
  )
  .option('--gateways <count>', 'gateways', '8')
  .option('--runs <count>', 'runs of each fault', '1')
  .option('--from <seed>', 'first seed', '1')
  .option('--seconds <count>', 'duration of the fault', '14')
  .option('--port <base>', 'first port', '26000');
program.parse();
const options = program.opts<Record<string, string>>();
let failed = 0;
for (const fault of options['faults']!.split(',') as QuotaFault[]) {
  for (let run = 0; run < Number(options['runs']); run += 1) {
    const seed = Number(options['from']) + run;
    const report = await runQuotas({
      fault,
      gateways: Number(options['gateways']),
      seed,
      durationMs: Number(options['seconds']) * 1_000,
      basePort: Number(options['port']) + (run % 10) * 10,
    });
    const { peakShare, averageShare, moderateRefusedShare, repeatedExecutions, folder } = report;
    failed += peakShare > 1 ? 1 : 0;
    const shares = [peakShare, averageShare, moderateRefusedShare].map((figure) =>
      figure.toFixed(3),
    );
    console.log(
      `${fault}, seed ${seed}: peak window ${shares[0]} of the limit, average ${shares[1]} of the rate, ` +
        `${shares[2]} of the moderate tenant refused, ${repeatedExecutions} repeated executions; logs in ${folder}`,
    );
  }
}
console.log(`${failed} over the limit`);
process.exit(failed === 0 ? 0 : 1);
