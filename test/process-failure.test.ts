import { execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { handlesHangup } from './support/process-status.js';

const HOST = '127.0.3.53';
const SETTINGS = [
  '[process]',
  'role = gateway',
  'name = g',
  'zone = z',
  `address = ${HOST}`,
  '[listen]',
  `callers = ${HOST}:28001`,
  `readiness = ${HOST}:28002`,
  `peers = ${HOST}:28003`,
  '[cluster]',
  `store = ${HOST}:28004`,
].join('\n');

/** Runs a gateway whose store fails in a way that nothing handles. */
const SCRIPT = `
  import { runProcess } from './dist/src/bin/run-process.js';
  import { createPlatformAdapter } from './dist/platform/adapter.js';
  runProcess({
    settingsPath: process.env.SETTINGS_PATH,
    createAdapter: (address, timeoutMs) => {
      const adapter = createPlatformAdapter(address, timeoutMs);
      adapter.store.list = () => Promise.reject(new Error('injected'));
      return adapter;
    },
    createEngineProbe: () => () => Promise.resolve({ kind: 'silent' }),
  });
`;

test('a process that ends by an exception writes why as its last line', async (t) => {
  const settingsPath = join(mkdtempSync(join(tmpdir(), 'weirvale-')), 'settings.ini');
  writeFileSync(settingsPath, SETTINGS);
  const child = spawn(process.execPath, ['--input-type=module', '-e', SCRIPT], {
    env: { PATH: process.env['PATH'], SETTINGS_PATH: settingsPath },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  t.teardown(() => child.kill('SIGKILL'));
  let output = '';
  child.stdout.on('data', (bytes: Buffer) => (output += bytes.toString()));
  const [code] = (await once(child, 'close')) as [number];
  const lines = output.trim().split('\n');
  const last = JSON.parse(lines.at(-1)!) as Record<string, string>;
  t.is(code, 1);
  t.like(last, { event: 'process-failed', reason: 'injected', origin: 'unhandledRejection' });
  t.regex(last['stack']!, /Error: injected/);
  t.true(lines.some((line) => line.includes('"event":"started"')));
});

async function waitUntil(condition: () => boolean): Promise<boolean> {
  const endAtMs = Date.now() + 8_000;
  while (!condition() && Date.now() < endAtMs) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  return condition();
}

test('a reload signal does not end a process that has not read its settings yet', async (t) => {
  const settingsPath = join(mkdtempSync(join(tmpdir(), 'weirvale-')), 'settings.fifo');
  execFileSync('mkfifo', [settingsPath]);
  const child = spawn(process.execPath, ['dist/platform/main.js'], {
    env: { PATH: process.env['PATH'], WEIRVALE_SETTINGS: settingsPath },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  t.teardown(() => child.kill('SIGKILL'));
  let output = '';
  child.stdout.on('data', (bytes: Buffer) => (output += bytes.toString()));
  // The process cannot read its settings before the test writes them.
  t.true(await waitUntil(() => handlesHangup(child.pid!)));
  await writeFile(settingsPath, SETTINGS.replaceAll('280', '281'));
  t.true(await waitUntil(() => output.includes('"event":"started"')));
  rmSync(settingsPath);
  writeFileSync(settingsPath, SETTINGS);
  child.kill('SIGHUP');
  t.true(await waitUntil(() => output.includes('"event":"settings-re')));
  t.deepEqual([child.exitCode, child.signalCode], [null, null]);
});

test('a reload signal while the settings file is missing does not end the process, and is logged', async (t) => {
  const settingsPath = join(mkdtempSync(join(tmpdir(), 'weirvale-')), 'settings.ini');
  writeFileSync(settingsPath, SETTINGS.replaceAll('280', '282'));
  const child = spawn(process.execPath, ['dist/platform/main.js'], {
    env: { PATH: process.env['PATH'], WEIRVALE_SETTINGS: settingsPath },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  t.teardown(() => child.kill('SIGKILL'));
  let output = '';
  child.stdout.on('data', (bytes: Buffer) => (output += bytes.toString()));
  t.true(await waitUntil(() => output.includes('"event":"started"')));
  rmSync(settingsPath);
  child.kill('SIGHUP');
  t.true(await waitUntil(() => output.includes('"event":"settings-refused"')));
  t.regex(output, /ENOENT/);
  t.deepEqual([child.exitCode, child.signalCode], [null, null]);
});
