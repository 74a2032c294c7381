// Frame of a case: its record, its time limit and its exit status (1: the rule was broken, 0: it
// held, 2: the case could not run).
import { writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Whether the disruption happens. */
export const TROUBLE = process.env.TROUBLE !== '0';

const LIMIT_MS = 100_000;

/**
 * Runs a case once. `run` gets `note(what, fields)`, which adds a line to record.txt, and
 * `onStop(callback)`, which is called at the end in any case; it resolves with the exit status.
 */
export function runCase(moduleUrl, run) {
  const record = [];
  const cleanups = [];
  let isOver = false;
  const end = async (status) => {
    if (isOver) {
      return;
    }
    isOver = true;
    for (const cleanup of cleanups.reverse()) {
      await cleanup();
    }
    const lines = record.map((entry) => JSON.stringify(entry));
    const text = [`TROUBLE=${TROUBLE ? 1 : 0}, exit status ${status}`, ...lines, ''].join('\n');
    writeFileSync(join(dirname(fileURLToPath(moduleUrl)), 'record.txt'), text);
    process.exit(status);
  };
  const fail = (reason) => {
    console.error(reason);
    void end(2);
  };
  const note = (what, fields) => record.push({ what, atMs: Date.now(), ...fields });
  setTimeout(() => fail('the time limit is over'), LIMIT_MS).unref();
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
    process.on(signal, () => fail(signal));
  }
  process.on('uncaughtException', fail);
  run({ record, note, onStop: (callback) => cleanups.push(callback) }).then(end, fail);
}
