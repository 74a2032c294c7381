/**
 * Simulates, for each seed, a fleet that replicates the store's records under random faults on a
 * virtual clock. Prints the gateways that applied a change too late, and the events before.
 */
import { Command } from 'commander';
import { runWithFaults } from '../test/support/fleet-faults.js';

interface Options {
  readonly from: string;
  readonly seeds: string;
  readonly gateways: string;
  readonly seconds: string;
}

const MS_PER_S = 1_000;
const MAX_EVENT_LINES = 12;

const program = new Command()
  .description('Simulates the replication of store changes under faults, on a virtual clock.')
  .option('--from <seed>', 'first seed', '1')
  .option('--seeds <count>', 'number of seeds', '50')
  .option('--gateways <count>', 'gateways of each fleet', '27')
  .option('--seconds <time>', 'duration of the faults', '40')
  .parse();

const { from, seeds, gateways, seconds } = program.opts<Options>();
let failed = 0;
for (let seed = Number(from); seed < Number(from) + Number(seeds); seed += 1) {
  const { late, lateForOrders, story } = await runWithFaults({
    seed,
    gateways: Number(gateways),
    lengthMs: Number(seconds) * MS_PER_S,
    needsAcknowledgement: seed % 2 === 0,
  });
  const firstLate = late[0];
  if (lateForOrders.length > 0) {
    failed += firstLate === undefined ? 1 : 0;
    console.log(`seed ${seed}: ${lateForOrders.join('; ')}`);
    console.log(story.join('\n'));
  }
  if (firstLate !== undefined) {
    failed += 1;
    const precedingEvents = story.filter((line) => Number.parseInt(line, 10) <= firstLate.atMs);
    const { gateway, change, atMs } = firstLate;
    console.log(
      `seed ${seed}: ${late.length} late, first ${gateway} with ${change.version} at ${atMs} ms:`,
    );
    console.log(precedingEvents.slice(-MAX_EVENT_LINES).join('\n'));
  }
}
console.log(`${seeds} seeds of ${gateways} gateways, ${failed} with late gateways`);
process.exitCode = failed === 0 ? 0 : 1;
