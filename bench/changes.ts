/** Prints how long a change takes to be in force at real gateways, beside troubles of the store. */
import { Command } from 'commander';
import { runChange } from './soak/change-run.js';
import type { ChangeRunOptions } from './soak/change-run.js';

interface Options {
  readonly gateways: string;
  readonly runs: string;
  readonly port: string;
  readonly copies?: boolean;
}

type Row = Pick<ChangeRunOptions, 'mood' | 'forMs' | 'changeAfterMs' | 'quietMs' | 'copyAgeMs'>;

const ROWS: readonly Row[] = [
  { mood: 'answers', forMs: 100, changeAfterMs: 100, quietMs: 1_000 },
  { mood: 'silent', forMs: 500, changeAfterMs: 350, quietMs: 3_000 },
  { mood: 'silent', forMs: 1_200, changeAfterMs: 350, quietMs: 3_000 },
  { mood: 'silent', forMs: 4_000, changeAfterMs: 3_700, quietMs: 1_000 },
  { mood: 'refuses', forMs: 4_000, changeAfterMs: 3_700, quietMs: 1_000 },
];

/** The change comes 1.5 s after the return; some changes a second were made that the copy lacks. */
const COPIES: readonly Row[] = [
  { mood: 'resets', forMs: 1_000, changeAfterMs: 3_000, quietMs: 0, copyAgeMs: 3_000 },
  { mood: 'silent', forMs: 3_000, changeAfterMs: 5_000, quietMs: 0, copyAgeMs: 3_000 },
  { mood: 'resets', forMs: 400, changeAfterMs: 2_400, quietMs: 0, copyAgeMs: 5_000 },
  { mood: 'resets', forMs: 3_000, changeAfterMs: 5_000, quietMs: 0, copyAgeMs: 10_000 },
];

const program = new Command()
  .description('Time until a change of the configuration is in force at every gateway.')
  .option('--gateways <count>', 'gateways', '12')
  .option('--runs <count>', 'runs of each row', '1')
  .option('--copies', 'the store comes back from copies of earlier states')
  .option('--port <base>', 'first port', '24000')
  .parse();

const { gateways, runs, port, copies } = program.opts<Options>();
for (const row of copies ? COPIES : ROWS) {
  for (let run = 0; run < Number(runs); run += 1) {
    const options = { ...row, gateways: Number(gateways), basePort: Number(port) };
    const { inForceMs, never } = await runChange(options);
    const [first, last] = [inForceMs[0], inForceMs.at(-1)].map((ms) => Math.round(ms ?? Infinity));
    const from =
      row.copyAgeMs === undefined ? 'its end' : `it, on a copy of ${row.copyAgeMs} ms before`;
    console.log(
      `${gateways} gateways, store ${row.mood} for ${row.forMs} ms: in force ${first} to ${last} ms after ${from}, never at ${never}`,
    );
  }
}
process.exit(0);
