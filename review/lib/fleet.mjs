/**
 * Starts the project's programs as separate processes on loopback, with the commands of the deploy
 * file and settings of a small deployment, and stand-ins of the store and the workers beside them.
 */
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { findFreeNetwork, PORT_OFFSETS } from './ports.mjs';
import { Store } from './store.mjs';
import { fillTemplate } from './template.mjs';
import { Worker } from './worker.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const RESTART_MS = 300;
const HEARTBEAT_MS = 1_200;
const SILENT_HEARTBEATS = 3;
const STORE_HOST = 2;
const FIRST_GATEWAY = 10;
const FIRST_WORKER = 40;
const ZONES = ['hall-a', 'hall-b', 'hall-c'];
const REGION = 'pnw-west';

/** Bounds of the small deployment on our users' pages. */
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lostMs: 200,
  configMs: 2000,
  rollbackSlackMs: 250,
  outerMs: 5000,
  strictRevoke: false,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 52,
  quotaWindowS: 8,
  quotaOver: 0.1,
  quotaSlack: 190000,
  recoverS: 12,
  passMs: 120,
  againS: 10,
};

const LIMITS = {
  gateway: { cpuShare: 0.513, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
  'slot-agent': {
    cpuShare: 0.54,
    cores: 1,
    memoryMb: 282,
    maxFds: 4096,
    linkMbps: 2000,
    diskMb: 0,
  },
};

/** Returns the program and arguments by which the deploy file runs a role. */
function commandOf(role) {
  const deploy = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = deploy.split(`[roles.${role}]`)[1];
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

/** Waits for some milliseconds. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** One process of the project; it is started again when it ends, as the platform does. */
class Program {
  starts = 0;
  /** Ends that this test did not cause. */
  ownEnds = [];
  isExpected = false;
  isStopped = false;

  constructor(name, role, settingsPath, logPath) {
    Object.assign(this, { name, role, settingsPath, logPath });
  }

  start() {
    if (this.isStopped) {
      return;
    }
    const [program, ...args] = commandOf(this.role);
    const log = openSync(this.logPath, 'a');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, WEIRVALE_SETTINGS: this.settingsPath },
      stdio: ['ignore', log, log],
    });
    this.child = child;
    this.starts += 1;
    child.on('exit', (code, signal) => {
      if (!this.isExpected && !this.isStopped) {
        this.ownEnds.push({ atMs: performance.now(), code, signal });
      }
      this.isExpected = false;
      setTimeout(() => this.start(), this.delayMs ?? RESTART_MS);
    });
  }

  /** Sends a signal to the process that this test started. */
  signal(name, delayMs) {
    this.isExpected = name === 'SIGKILL' || name === 'SIGTERM';
    this.delayMs = delayMs;
    this.child.kill(name);
  }

  stop() {
    this.isStopped = true;
    this.child?.kill('SIGCONT');
    this.child?.kill('SIGKILL');
  }

  /** Standard output and error so far. */
  get log() {
    return readFileSync(this.logPath, 'utf8');
  }
}

/** A fleet: a store, workers with their slot agents, and gateways. */
export class Fleet {
  store = new Store();
  gateways = [];
  agents = [];
  workers = [];
  folder = mkdtempSync(join(tmpdir(), 'weirvale-review-'));

  /** Starts everything; `workers` are the options of the workers, in order of their machines. */
  async start({ gateways, workers, configuration }) {
    process.once('exit', () => this.stop());
    ['SIGINT', 'SIGTERM'].forEach((name) => process.once(name, () => process.exit(2)));
    const hosts = [
      STORE_HOST,
      ...Array.from({ length: gateways }, (_unused, index) => FIRST_GATEWAY + index),
      ...workers.map((_unused, index) => FIRST_WORKER + index),
    ];
    Object.assign(this, await findFreeNetwork(hosts));
    const store = { host: `${this.network}.${STORE_HOST}`, port: this.port('store') };
    await this.store.listen(store.host, store.port);
    this.storeAddress = `${store.host}:${store.port}`;
    this.gatewayHosts = Array.from(
      { length: gateways },
      (_unused, index) => `${this.network}.${FIRST_GATEWAY + index}`,
    );
    this.seeds = this.gatewayHosts.slice(0, 3).map((host) => `${host}:${this.port('control')}`);
    this.store.put('op/config', configuration);
    for (const [index, options] of workers.entries()) {
      await this.addWorker(index, options);
    }
    this.heartbeats = setInterval(() => this.beat(), HEARTBEAT_MS);
    this.gatewayHosts.forEach((host, index) => this.addGateway(host, index));
    await this.waitUntilReady();
  }

  port(name) {
    return this.basePort + PORT_OFFSETS[name];
  }

  /** Writes the entries of the workers that live, as they do at each heartbeat. */
  beat() {
    this.workers.filter(({ isUp }) => isUp).forEach((worker) => this.tell(worker));
  }

  /** Writes the entry of one worker. */
  tell(worker) {
    worker.sequence = (worker.sequence ?? 0) + 1;
    if (this.store.put(`servers/${worker.id}`, worker.entry(worker.sequence))) {
      clearTimeout(worker.lapse);
      const lapseMs = HEARTBEAT_MS * SILENT_HEARTBEATS;
      worker.lapse = setTimeout(() => {
        if (this.store.mode === 'up') {
          this.store.remove(`servers/${worker.id}`);
        }
      }, lapseMs);
    }
  }

  async addWorker(index, options) {
    const host = `${this.network}.${FIRST_WORKER + index}`;
    const zone = ZONES[index % ZONES.length];
    const worker = new Worker({ host, port: this.port('app'), zone, ...options });
    this.workers.push(worker);
    await worker.start();
    this.tell(worker);
    if (options.isEngine) {
      const name = `side-${zone}-${index}`;
      const fields = this.fields(name, 'slot-agent', host, zone);
      worker.agent = this.launch(name, 'slot-agent', { ...fields, app: `${host}:${worker.port}` });
      this.agents.push(worker.agent);
    }
  }

  addGateway(host, index) {
    const zone = ZONES[index % ZONES.length];
    const name = `edge-${zone}-${index}`;
    const listen = {
      front: `${host}:${this.port('front')}`,
      ready: `${host}:${this.port('ready')}`,
      control: `${host}:${this.port('control')}`,
    };
    const fields = { ...this.fields(name, 'gateway', host, zone), listen };
    this.gateways.push(this.launch(name, 'gateway', fields));
  }

  fields(nodeName, role, ip, zone) {
    return {
      nodeName,
      role,
      machineClass: role === 'gateway' ? 'edge' : 'side',
      ip,
      zone,
      region: REGION,
      internalPorts: [this.port('internal'), this.lastInternal],
      seeds: this.seeds,
      zones: Object.fromEntries(ZONES.map((each) => [each, REGION])),
      limits: LIMITS[role],
      bounds: BOUNDS,
      provider: { address: this.storeAddress, form: 'kv' },
    };
  }

  launch(name, role, fields) {
    mkdirSync(join(this.folder, name));
    const template = readFileSync(join(ROOT, 'platform', 'settings.ini.template'), 'utf8');
    const settingsPath = join(this.folder, name, 'settings.ini');
    writeFileSync(settingsPath, fillTemplate(template, fields));
    const program = new Program(name, role, settingsPath, join(this.folder, name, 'log'));
    program.start();
    return program;
  }

  async waitUntilReady() {
    const endAtMs = performance.now() + 20_000;
    const isReady = (host) =>
      fetch(`http://${host}:${this.port('ready')}/-/ready`)
        .then(({ status }) => status === 200)
        .catch(() => false);
    while (!(await Promise.all(this.gatewayHosts.map(isReady))).every(Boolean)) {
      if (performance.now() > endAtMs) {
        throw new Error('the gateways are not ready in time');
      }
      await sleep(100);
    }
  }

  /** Processes of the project that ended by themselves. */
  get ownEnds() {
    return [...this.gateways, ...this.agents].flatMap(({ name, ownEnds }) =>
      ownEnds.map((end) => ({ name, ...end })),
    );
  }

  /** Ends everything that was started. */
  stop() {
    clearInterval(this.heartbeats);
    [...this.gateways, ...this.agents].forEach((program) => program.stop());
    this.workers.forEach(({ lapse, server, sockets }) => {
      clearTimeout(lapse);
      server?.close();
      sockets.forEach((socket) => socket.destroy());
    });
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }
}
