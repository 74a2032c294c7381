import { execFileSync, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { sleep, SYSTEM_CLOCK } from '../src/clock.js';

const POLL_MS = 20;
const TIMEOUT_MS = 8_000;
const SETTLE_MS = 200;

/** Whether the process handles SIGHUP, by the mask of caught signals that the system shows. */
function handlesHangup(pid: number): boolean {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)![1]!;
  return (BigInt(`0x${mask}`) & 1n) === 1n;
}

test('a reload signal does not end a process whose main module is not loaded yet', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'weirvale-'));
  execFileSync('node', ['platform/build.mjs', folder]);
  const mainFile = join(folder, 'weirvale-main.cjs');
  rmSync(mainFile, { force: true });
  // Reading the main module blocks for as long as nothing is written.
  execFileSync('mkfifo', [mainFile]);
  const child = spawn(process.execPath, [join(folder, 'weirvale.cjs')], {
    env: { PATH: process.env['PATH'] },
    stdio: 'ignore',
  });
  t.teardown(() => child.kill('SIGKILL'));
  const endAtMs = Date.now() + TIMEOUT_MS;
  while (!handlesHangup(child.pid!) && Date.now() < endAtMs) {
    await sleep(SYSTEM_CLOCK, POLL_MS);
  }
  t.true(handlesHangup(child.pid!));
  child.kill('SIGHUP');
  await sleep(SYSTEM_CLOCK, SETTLE_MS);
  t.deepEqual([child.exitCode, child.signalCode], [null, null]);
});
