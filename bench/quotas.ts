/** Runs quotas under faults: `node dist/bench/quotas.js --gateways 8 --runs 3`; stops by itself. */
import { Command } from 'commander';
import { runQuotas } from './soak/quota-run.js';
import type { QuotaFault } from './soak/quota-run.js';

const ALL: readonly QuotaFault[] = [
  'none',
  'pauses',
  'kill-all',
  'kill-in-turn',
  'kill-each-once',
  'lost-answers',
  'apart',
];

const program = new Command('quotas')
  .description('quotas of tenants over real gateways on loopback, under one fault at a time')
  .option('--faults <list>', `of ${ALL.join(', ')}`, ALL.join(','))
  .option('--gateways <count>', 'gateways', '8')
  .option('--runs <count>', 'runs of each fault', '1')
  .option('--from <seed>', 'first seed', '1')
  .option('--seconds <count>', 'time under the fault', '14')
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
      lengthMs: Number(options['seconds']) * 1_000,
      basePort: Number(options['port']) + (run % 10) * 10,
    });
    const { worstShare, rateShare, calmRefused, furtherTries, folder } = report;
    failed += worstShare > 1 ? 1 : 0;
    const figures = [worstShare, rateShare, calmRefused].map((figure) => figure.toFixed(3));
    console.log(
      `${fault}, seed ${seed}: worst window ${figures[0]} of the bound, ${figures[1]} of the rate, ` +
        `${figures[2]} of the calm refused, ${furtherTries} further tries; logs in ${folder}`,
    );
  }
}
console.log(`${failed} over the bound`);
process.exit(failed === 0 ? 0 : 1);
