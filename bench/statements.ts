/**
 * Checks how gateways follow the statements (limits, draining, backoff) in backends' responses,
 * then exits: `node dist/bench/statements.js --troubles limit`.
 */
import { Command } from 'commander';
import { runStatements } from './soak/statement-run.js';
import type { BackendFault } from './soak/statement-run.js';

const ALL_FAULTS: readonly BackendFault[] = ['limit', 'leaving', 'rest', 'shed', 'error', 'reset'];

const program = new Command('statements')
  .description('checks how gateway processes on loopback follow the statements of backends')
  .option(
    '--troubles <list>',
    `comma-separated faults of backends: ${ALL_FAULTS.join(', ')}`,
    ALL_FAULTS.join(','),
  )
  .option('--gateways <count>', 'gateways', '3')
  .option('--agents', 'run a slot agent next to each backend')
  .option('--troubled <count>', 'faulty backends, out of six', '1')
  .option('--limit <perS>', 'stated limit, in requests per second', '2.4')
  .option('--load <perS>', 'requests per second', '100')
  .option('--kills', 'kill the gateways in turn')
  .option('--well <seconds>', 'time after which the backends recover')
  .option('--runs <count>', 'runs of each fault', '1')
  .option('--from <seed>', 'first seed', '1')
  .option('--seconds <count>', 'duration of the fault', '12')
  .option('--port <base>', 'first port', '27000');
program.parse();
const options = program.opts<Record<string, string | boolean>>();
for (const fault of String(options['troubles']).split(',') as BackendFault[]) {
  for (let run = 0; run < Number(options['runs']); run += 1) {
    const report = await runStatements({
      fault,
      gateways: Number(options['gateways']),
      hasAgents: options['agents'] === true,
      faultyCount: Number(options['troubled']),
      limitPerS: Number(options['limit']),
      requestsPerS: Number(options['load']),
      killsGateways: options['kills'] === true,
      ...(options['well'] === undefined ? {} : { recoverAfterMs: Number(options['well']) * 1_000 }),
      seed: Number(options['from']) + run,
      lengthMs: Number(options['seconds']) * 1_000,
      basePort: Number(options['port']) + (run % 10) * 10,
    });
    console.log(fault, JSON.stringify(report));
  }
}
process.exit(0);
