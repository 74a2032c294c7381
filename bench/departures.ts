/**
 * Checks what gateways short of processor time send on after callers have left, then exits:
 * `node dist/bench/departures.js --rows new,kept --run-ms 24`.
 */
import { Command } from 'commander';
import { runDepartures } from './soak/departure-run.js';
import type { CallerConnections, DepartureRouteKind } from './soak/departure-run.js';

/** A few requests may cross their callers' departures. */
const MAX_SENT_AFTER_DEPARTURE = 3;

const program = new Command('departures')
  .description('checks gateways with little processor time while callers leave early')
  .option('--rows <list>', 'comma-separated connections of callers: new, kept', 'new,kept')
  .option('--kinds <list>', 'comma-separated kinds of the route', 'safe')
  .option('--gateways <count>', 'gateways', '2')
  .option('--callers <count>', 'callers of a burst at each gateway', '150')
  .option('--bursts <count>', 'bursts', '4')
  .option('--departing <share>', 'share of the callers that leave early', '0.7')
  .option('--run-ms <time>', 'run time of a gateway in each 100 ms', '24')
  .option('--work-ms <time>', 'time that a backend works on a request', '20')
  .option('--slots <count>', 'requests that a backend runs at once', '100')
  .option('--body <bytes>', 'bytes of a body', '200')
  .option('--runs <count>', 'runs of each row', '1')
  .option('--from <seed>', 'first seed', '1')
  .option('--port <base>', 'first port', '27000');
program.parse();
const options = program.opts<Record<string, string>>();
const number = (name: string) => Number(options[name]);
// The processes that a run started are ended when this one exits.
process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));
let failed = 0;
for (const kind of options['kinds']!.split(',') as DepartureRouteKind[]) {
  for (const connections of options['rows']!.split(',') as CallerConnections[]) {
    for (let run = 0; run < number('runs'); run += 1) {
      const report = await runDepartures({
        connections,
        kind,
        gateways: number('gateways'),
        callersPerBurst: number('callers'),
        bursts: number('bursts'),
        departingShare: number('departing'),
        runMsPerPeriod: number('runMs'),
        workMs: number('workMs'),
        slots: number('slots'),
        bodyBytes: number('body'),
        seed: number('from') + run,
        basePort: number('port') + (run % 10) * 10,
      });
      failed += report.sentAfterDeparture > MAX_SENT_AFTER_DEPARTURE ? 1 : 0;
      console.log(kind, connections, JSON.stringify(report));
    }
  }
}
console.log(`${failed} runs with requests sent on after their callers had left`);
process.exit(failed === 0 ? 0 : 1);
