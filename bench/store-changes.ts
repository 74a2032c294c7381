/**
 * Plays fleets that learn the store's changes beside troubles on a virtual clock, a seed each, and prints the
 * gateways that learned a change too late, with what happened before.
 */
import { Command } from 'commander';
import { runWithFaults } from '../test/support/fleet-troubles.js';

interface Options {
  readonly from: string;
  readonly seeds: string;
  readonly gateways: string;
  readonly seconds: string;
}

const MS_PER_S = 1_000;
const MAX_STORY_LINES = 12;

const program = new Command()
  .description('Changes of the store beside troubles, on a virtual clock.')
  .option('--from <seed>', 'first seed', '1')
  .option('--seeds <count>', 'number of seeds', '50')
  .option('--gateways <count>', 'gateways of each fleet', '27')
  .option('--seconds <time>', 'time with troubles', '40')
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
  const first = late[0];
  if (lateForOrders.length > 0) {
    failed += first === undefined ? 1 : 0;
    console.log(`seed ${seed}: ${lateForOrders.join('; ')}`);
    console.log(story.join('\n'));
  }
  if (first !== undefined) {
    failed += 1;
    const before = story.filter((line) => Number.parseInt(line, 10) <= first.atMs);
    const { gateway, change, atMs } = first;
    console.log(
      `seed ${seed}: ${late.length} late, first ${gateway} with ${change.version} at ${atMs} ms:`,
    );
    console.log(before.slice(-MAX_STORY_LINES).join('\n'));
  }
}
console.log(`${seeds} seeds of ${gateways} gateways, ${failed} with late gateways`);
process.exitCode = failed === 0 ? 0 : 1;
