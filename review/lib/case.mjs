/** Runs one case: its record, its time limit and its exit status. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

const TIME_LIMIT_MS = 110_000;
const EXIT = { held: 0, broken: 1, notRun: 2 };

/** What was sent, answered and run, in the order in which it happened. */
export class Record {
  lines = [];
  startedAtMs = performance.now();

  add(what, fields) {
    const atMs = Math.round(performance.now() - this.startedAtMs);
    this.lines.push(JSON.stringify({ atMs, what, ...fields }));
  }
}

/** Whether the disruption is to be left out. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** A sequence of numbers from 0 to 1 that `SEED` determines. */
export function createRandom(seed = Number(process.env.SEED ?? 1)) {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/**
 * Runs `play(record)`, which resolves with `problem` (why the case could not run), or with
 * `isBroken` and `summary`; writes `record.txt` to `folder` and exits.
 */
export async function runCase(folder, play) {
  const record = new Record();
  const finish = (status, text) => {
    const trouble = HAS_TROUBLE ? 'with' : 'without';
    const verdict = `${trouble} the disruption: ${text}`;
    writeFileSync(join(folder, 'record.txt'), [verdict, ...record.lines, ''].join('\n'));
    console.log(verdict);
    process.exit(status);
  };
  setTimeout(() => finish(EXIT.notRun, 'took too long'), TIME_LIMIT_MS).unref();
  try {
    const { problem, isBroken, summary } = await play(record);
    if (problem !== undefined) {
      finish(EXIT.notRun, `could not run: ${problem}`);
    }
    finish(isBroken ? EXIT.broken : EXIT.held, `${isBroken ? 'rule broken' : 'held'}: ${summary}`);
  } catch (error) {
    finish(EXIT.notRun, `could not run: ${error.stack}`);
  }
}
