// Starts the project's programs with the commands and the template of the deploy file, as separate
// processes on loopback addresses, and ends them.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Returns a port that is free on the host now. */
export function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.on('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The roles of the deploy file: `run` and `template` of each. */
function readRoles() {
  const roles = {};
  let current;
  for (const line of readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8').split('\n')) {
    const section = /^\[roles\.(.+)\]$/.exec(line.trim());
    const pair = /^(\w+) = "(.*)"$/.exec(line.trim());
    if (section) {
      current = roles[section[1]] = {};
    } else if (pair && current) {
      current[pair[1]] = pair[2];
    }
  }
  return roles;
}

/** Fills a settings template as DEPLOY.md says, as far as the project's template needs it. */
function fill(template, fields) {
  const lookUp = (name) => name.split('.').reduce((value, part) => value?.[part], fields);
  const asText = (value) => (Array.isArray(value) ? value.join(',') : `${value ?? ''}`);
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_all, name, inner) => {
      const entries = Object.entries(lookUp(name) ?? {});
      return entries
        .map(([key, value], index) =>
          inner
            .replaceAll('{{@}}', key)
            .replaceAll('{{.}}', asText(value))
            .replaceAll('{{,}}', index + 1 < entries.length ? ',' : ''),
        )
        .join('');
    })
    .replace(/\{\{([\w.]+)\}\}/g, (_all, name) => asText(lookUp(name)));
}

/** The fields that are the same in all settings: figures of cpra-weir. */
export const BOUNDS = {
  contactMs: 3000,
  drainMs: 2000,
  graceS: 8,
  lostMs: 200,
  configMs: 2000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 52,
  quotaWindowS: 8,
  quotaOver: 0.1,
  quotaSlack: 190000,
};

/** Processes of the project under one temporary folder. */
export class Fleet {
  constructor(storeAddress, seeds, internalPorts) {
    this.folder = mkdtempSync(join(tmpdir(), 'weirvale-review-'));
    this.roles = readRoles();
    this.common = {
      zones: { 'hall-a': 'west', 'hall-b': 'west', 'hall-c': 'west' },
      region: 'west',
      internalPorts,
      seeds,
      bounds: BOUNDS,
      provider: { address: storeAddress },
    };
    this.processes = [];
  }

  /** Starts a role; `fields` holds nodeName, ip, zone, listen and, beside a worker, app. */
  start(role, fields) {
    const { run, template } = this.roles[role];
    const settings = join(this.folder, `${fields.nodeName}.ini`);
    const text = readFileSync(join(ROOT, template), 'utf8');
    writeFileSync(settings, fill(text, { ...this.common, ...fields, role }));
    const [program, ...args] = run.split(' ');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, ...(LANG && { LANG }), WEIRVALE_SETTINGS: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.folder, `${fields.nodeName}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.ended = new Promise((resolve) =>
      child.on('exit', (code, signal) => resolve({ code, signal })),
    );
    this.processes.push(child);
    return child;
  }

  logOf(nodeName) {
    return readFileSync(join(this.folder, `${nodeName}.log`), 'utf8');
  }

  /** Ends every process that this started. */
  async stop() {
    for (const child of this.processes) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(this.processes.map(({ ended }) => ended));
    if (process.env.KEEP_LOGS !== '1') {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }
}

/** Asks a gateway whether it is ready; resolves with the status, 0 without an answer. */
export function askReady(address) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const call = request({ host, port, path: '/-/ready', agent: false, timeout: 900 }, (answer) => {
      answer.resume();
      resolve(answer.statusCode);
    });
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(0));
    call.end();
  });
}

/** Waits until the gateway is ready; false if it is not in time. */
export async function awaitReady(address, limitMs = 15_000) {
  for (const end = Date.now() + limitMs; Date.now() < end; await sleep(100)) {
    if ((await askReady(address)) === 200) {
      return true;
    }
  }
  return false;
}
