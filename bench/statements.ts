/** Runs fleets before back ends that speak of themselves: `node dist/bench/statements.js --troubles limit`; stops by itself. */
import { Command } from 'commander';
import { runStatements } from './soak/statement-run.js';
import type { BackendTrouble } from './soak/statement-run.js';

const ALL: readonly BackendTrouble[] = ['limit', 'leaving', 'rest', 'shed', 'error', 'reset'];

const program = new Command('statements')
  .description('what back ends say of themselves, over real gateways on loopback')
  .option('--troubles <list>', `of ${ALL.join(', ')}`, ALL.join(','))
  .option('--gateways <count>', 'gateways', '3')
  .option('--agents', 'an agent beside each back end')
  .option('--troubled <count>', 'back ends in trouble, of six', '1')
  .option('--limit <perS>', 'limit that is named, in requests a second', '2.4')
  .option('--load <perS>', 'requests a second', '100')
  .option('--kills', 'gateways are killed in turn')
  .option('--well <seconds>', 'time after which the back ends are well again')
  .option('--runs <count>', 'runs of each', '1')
  .option('--from <seed>', 'first seed', '1')
  .option('--seconds <count>', 'time in trouble', '12')
  .option('--port <base>', 'first port', '27000');
program.parse();
const options = program.opts<Record<string, string | boolean>>();
for (const trouble of String(options['troubles']).split(',') as BackendTrouble[]) {
  for (let run = 0; run < Number(options['runs']); run += 1) {
    const report = await runStatements({
      trouble,
      gateways: Number(options['gateways']),
      hasAgents: options['agents'] === true,
      inTrouble: Number(options['troubled']),
      limitPerS: Number(options['limit']),
      requestsPerS: Number(options['load']),
      killsGateways: options['kills'] === true,
      ...(options['well'] === undefined ? {} : { wellAfterMs: Number(options['well']) * 1_000 }),
      seed: Number(options['from']) + run,
      lengthMs: Number(options['seconds']) * 1_000,
      basePort: Number(options['port']) + (run % 10) * 10,
    });
    console.log(trouble, JSON.stringify(report));
  }
}
process.exit(0);
