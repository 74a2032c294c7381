import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';

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
