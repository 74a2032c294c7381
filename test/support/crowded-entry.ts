/** An entry of the native daemon as a process on a small machine, with a platform and an engine. */
import { spawn } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import { CrowdedProcess, MACHINE } from './crowded-process.js';
import type { ClientTarget } from './client-crowd.js';
import { LocalSystem, waitUntil } from './local-system.js';
import { SHOP_KEY, smallPolicy } from './policy.js';

/** Maximum body size of the entry, in bytes. */
export const ENTRY_MAX_BODY_BYTES = 2 * 1024 * 1024;
/** Path of chat requests. */
export const CHAT_PATH = '/v1/chat/completions';

const PORTS = { callers: 28_011, operators: 28_012 };
const HTTP_OK = 200;
const ENGINE_STEP_MS = 1;
const MAX_TOKENS = 5;

/** An entry process. */
export interface CrowdedEntry {
  readonly target: ClientTarget;
  readonly process: CrowdedProcess;
}

/** Starts an entry that is ended after the test. */
export async function startCrowdedEntry(t: ExecutionContext, host: string): Promise<CrowdedEntry> {
  const system = await LocalSystem.start(smallPolicy());
  await system.startEngine('a-1', ENGINE_STEP_MS);
  const settingsPath = join(mkdtempSync(join(tmpdir(), 'weirvale-')), 'settings.ini');
  writeFileSync(settingsPath, settingsOf(host, system.platformUrl));
  const child = spawn(
    process.execPath,
    [
      `--max-old-space-size=${MACHINE.heapMib}`,
      'dist/src/bin/weirvaled.js',
      '--config',
      settingsPath,
    ],
    { env: { PATH: process.env['PATH'] }, stdio: ['ignore', 'ignore', 'inherit'] },
  );
  t.teardown(async () => {
    child.kill('SIGKILL');
    await system.stop();
  });
  await waitUntil(() => isReady(host));
  const target = { host, port: PORTS.callers };
  return {
    target,
    process: new CrowdedProcess(child, target, (signal) => servesChat(host, signal)),
  };
}

/** Returns the body of a chat request. */
export function chatBody(content: string): string {
  return JSON.stringify({
    model: 'risk',
    max_tokens: MAX_TOKENS,
    messages: [{ role: 'user', content }],
  });
}

/** Headers of a chat request that the policy permits. */
export const CHAT_HEADERS = {
  authorization: `Bearer ${SHOP_KEY}`,
  'content-type': 'application/json',
  'x-weirvale-data': 'class=lookup',
} as const;

function settingsOf(host: string, platformUrl: string): string {
  return [
    '[process]',
    'role = entry',
    'name = entry-1',
    'region = r',
    'zone = z',
    'place = hall-a',
    '[listen]',
    `address = ${host}`,
    `callersPort = ${PORTS.callers}`,
    `operatorsPort = ${PORTS.operators}`,
    `maxBodyBytes = ${ENTRY_MAX_BODY_BYTES}`,
    'maxConnections = 300',
    '[platform]',
    `keyValueUrl = ${platformUrl}`,
    `liveListUrl = ${platformUrl}`,
    'liveListPollMs = 50',
    '[log]',
    'level = error',
    'decisions = off',
  ].join('\n');
}

async function isReady(host: string): Promise<boolean> {
  try {
    const response = await request(`http://${host}:${PORTS.operators}/ready`);
    await response.body.dump();
    return response.statusCode === HTTP_OK;
  } catch {
    return false;
  }
}

async function servesChat(host: string, signal: AbortSignal): Promise<boolean> {
  const { statusCode, body } = await request(`http://${host}:${PORTS.callers}${CHAT_PATH}`, {
    method: 'POST',
    headers: CHAT_HEADERS,
    body: chatBody('hello'),
    reset: true,
    signal,
  });
  await body.dump();
  return statusCode === HTTP_OK;
}
