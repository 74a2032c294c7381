import { execFileSync, spawn } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { sleep, SYSTEM_CLOCK } from '../src/clock.js';
import {
  HANGUP_HANDLER_LIMIT_MS,
  handlesHangup,
  processorTimeMs,
} from './support/process-status.js';

const POLL_MS = 20;
const TIMEOUT_MS = 8_000;
const SETTLE_MS = 200;
const STARTS = 10;

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

test('each start of the program handles the reload signal before it has used its limit of processor time', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'weirvale-'));
  execFileSync('node', ['platform/build.mjs', folder]);
  const settingsPath = join(folder, 'settings.fifo');
  // The program reads its settings for as long as nothing is written.
  execFileSync('mkfifo', [settingsPath]);
  for (let start = 0; start < STARTS; start += 1) {
    const child = spawn(process.execPath, [join(folder, 'weirvale.cjs')], {
      env: { PATH: process.env['PATH'], WEIRVALE_SETTINGS: settingsPath },
      stdio: 'ignore',
    });
    t.teardown(() => child.kill('SIGKILL'));
    const mayStillStart = () => processorTimeMs(child.pid!) <= HANGUP_HANDLER_LIMIT_MS;
    const endAtMs = Date.now() + TIMEOUT_MS;
    while (!handlesHangup(child.pid!) && mayStillStart() && Date.now() < endAtMs) {
      await sleep(SYSTEM_CLOCK, 1);
    }
    t.true(handlesHangup(child.pid!));
    child.kill('SIGHUP');
    await sleep(SYSTEM_CLOCK, SETTLE_MS);
    t.deepEqual([child.exitCode, child.signalCode], [null, null]);
    child.kill('SIGKILL');
  }
});
