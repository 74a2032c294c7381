/** The real programs as separate processes on loopback, with the store and the back ends as stand-ins. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, openSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { RandomSource } from '../../src/random.js';
import { FakeStore } from '../../test/support/platform-standin.js';
import { LoopbackProxy } from './loopback-proxy.js';
import { SoakBackend } from './soak-backend.js';
import type { BackendRun } from './soak-backend.js';
import {
  FIXED_HOME,
  homesOfVersion,
  MOVED_HOME,
  SOAK_REGIONS,
  SOAK_ZONES,
  zoneOf,
} from './soak-homes.js';
import type { HomeChange } from './soak-homes.js';
import { routePrefix } from './soak-routes.js';
import type { RouteChange } from './soak-routes.js';

/** Sizes of a soak. */
export interface SoakSizes {
  readonly gateways: number;
  readonly engines: number;
}

/** Longest time that a request may be held, in milliseconds. */
export const SOAK_TIMEOUT_MS = 2_500;
/** Key of the one tenant. */
export const SOAK_KEY = 'soak-key';

/** How long a back end is cold after its start, in milliseconds, and what it bears in a second meanwhile. */
const COLD_MS = 2_000;
const COLD_PER_S = 14;
const COLD_OVER = 1.5;
const COLD_SLACK = 5;
/** Most requests in one second, over all gateways, at a cold back end. */
export const SOAK_COLD_BOUND = COLD_PER_S * COLD_OVER + COLD_SLACK;

const PROGRAM = 'target/weirvale.cjs';
const GRACE_S = 4;
const PORTS = { callers: 1, readiness: 2, peers: 3, storeProxy: 4, agent: 5, backend: 6, real: 7 };

/** One program that can be signalled and started again. */
export class SoakProcess {
  /** Until when its requests may fail because of what was done to it, in milliseconds. */
  disturbedUntilMs = 0;
  private child: ChildProcess | undefined;
  private isWanted = true;

  constructor(
    readonly name: string,
    private readonly settingsPath: string,
    private readonly logPath: string,
  ) {}

  start(): void {
    const log = openSync(this.logPath, 'a');
    const child = spawn(process.execPath, [PROGRAM], {
      env: { PATH: process.env['PATH'], WEIRVALE_SETTINGS: this.settingsPath },
      stdio: ['ignore', log, log],
    });
    this.child = child;
    child.on('exit', () => {
      if (this.isWanted && this.child === child) {
        setTimeout(() => this.isWanted && this.start(), 150);
      }
    });
  }

  /** Signals the process that this object started, by its id. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  stop(): void {
    this.isWanted = false;
    this.signal('SIGCONT');
    this.signal('SIGKILL');
  }
}

/** How long a back end that starts again under its name is away, in milliseconds. */
const REBORN_AWAY_MS = 700;

/** A standing order to send nothing to a back end's zone. */
export interface SoakEvacuation {
  /** Index of the one back end in the zone. */
  readonly index: number;
  readonly fromMs: number;
  /** Infinity until it is taken back. */
  untilMs: number;
}

/** Everything that a soak starts. */
export class SoakFleet {
  readonly store = new FakeStore();
  readonly gateways: SoakProcess[] = [];
  readonly agents: SoakProcess[] = [];
  readonly storeProxies: LoopbackProxy[] = [];
  readonly backendProxies: LoopbackProxy[] = [];
  readonly backends: SoakBackend[] = [];
  readonly folder = mkdtempSync(join(tmpdir(), 'weirvale-soak-'));
  /** When back ends announced that they leave, by id. */
  readonly drainedAtMs = new Map<string, number>();
  /** The homes that were put in force, oldest first. */
  readonly homeChanges: HomeChange[] = [];
  readonly evacuations: SoakEvacuation[] = [];
  /** The configurations that were put in force, oldest first. */
  readonly routeChanges: RouteChange[] = [];
  private homesVersion = 0;
  /** Back ends that were given another life so far. */
  private replaced = 0;

  constructor(
    private readonly sizes: SoakSizes,
    private readonly basePort: number,
    private readonly random: RandomSource,
    private readonly onRun: (run: BackendRun) => void,
  ) {}

  /** Base URL of a gateway's callers' interface. */
  callersAddress(index: number): { host: string; port: number } {
    return { host: gatewayHost(index), port: this.basePort + PORTS.callers };
  }

  /** URL of a gateway's readiness. */
  readinessUrl(index: number): string {
    return `http://${gatewayHost(index)}:${this.basePort + PORTS.readiness}/-/ready`;
  }

  async start(): Promise<void> {
    // Whatever ends the soak, nothing that it started outlives it.
    process.once('exit', () => this.stop());
    const [storeHost, storePort] = (await this.store.start()).split(':');
    this.changeConfiguration();
    for (let index = 0; index < this.sizes.engines; index += 1) {
      await this.startBackend(index);
    }
    for (let index = 0; index < this.sizes.gateways; index += 1) {
      const proxy = new LoopbackProxy(storeHost!, Number(storePort));
      await proxy.start(gatewayHost(index), this.basePort + PORTS.storeProxy);
      this.storeProxies.push(proxy);
      this.gateways.push(this.startProcess(`gateway-${index}`, this.gatewaySettings(index)));
    }
  }

  stop(): void {
    [...this.gateways, ...this.agents].forEach((each) => each.stop());
    [...this.storeProxies, ...this.backendProxies].forEach((proxy) => proxy.stop());
    this.backends.forEach((backend) => backend.stop());
    this.store.stop();
  }

  /** Puts a new version of the configuration in force. */
  changeConfiguration(): void {
    this.homesVersion += 1;
    this.homeChanges.push({
      atMs: performance.now(),
      regions: homesOfVersion(this.homesVersion),
    });
    this.changeRoutes();
  }

  /** Puts a configuration in force that has another route and the same homes. */
  changeRoutes(): void {
    const version = this.routeChanges.length + 1;
    this.routeChanges.push({ version, atMs: performance.now() });
    const route = (name: string, kind: string, resumable: boolean) => ({
      name,
      host: 'soak.example',
      pathPrefix: `/${name}/`,
      kind,
      resumable,
      timeoutMs: SOAK_TIMEOUT_MS,
      targetLatencyMs: 800,
      gapAimMs: 500,
      maxAttempts: kind === 'unsafe' ? 1 : 2,
      priority: 1,
      service: 'engines',
    });
    const regions = homesOfVersion(this.homesVersion);
    this.store.put('op/config', {
      version,
      routes: [
        route('safe', 'safe', false),
        route('unsafe', 'unsafe', false),
        route('stream', 'streaming', true),
        { ...route(FIXED_HOME.name, 'safe', false), allowedRegions: FIXED_HOME.regions },
        { ...route(MOVED_HOME, 'safe', false), allowedRegions: regions },
        // Nobody serves it: an answer tells that the route is known, and no back end is troubled.
        {
          ...route('asked', 'safe', false),
          pathPrefix: routePrefix(version),
          service: 'nobody',
          allowAnonymous: true,
        },
      ],
      services: [
        { name: 'nobody', maxConnections: 1 },
        {
          name: 'engines',
          maxConnections: 200,
          engine: { stride: 3 },
          coldStartS: COLD_MS / 1_000,
          coldPerS: COLD_PER_S,
        },
      ],
      tenants: [{ name: 'shop', apiKeys: [SOAK_KEY] }],
    });
  }

  /** Announces a back end. */
  announce(index: number, state: 'ready' | 'draining'): void {
    const address = `${backendHost(index)}:${this.basePort + PORTS.backend}`;
    const { id, bornAtMs, coldUntilMs } = this.backends[index]!;
    const coldRemainingMs = Math.max(0, Math.round(coldUntilMs - performance.now()));
    const zone = zoneOf(index);
    const fields = { service: 'engines', slots: 6, state, zone, coldRemainingMs };
    this.store.announce(id, { address, ...fields, born: bornAtMs });
  }

  /** A back end announces that it leaves; what was sent there later than the bound is a violation. */
  drainBackend(index: number): void {
    this.drainedAtMs.set(this.backends[index]!.id, performance.now());
    this.announce(index, 'draining');
  }

  /** Operators evacuate a back end's zone; what is sent there later than the bound is a violation. */
  evacuate(index: number): SoakEvacuation {
    const evacuation = { index, fromMs: performance.now(), untilMs: Infinity };
    this.evacuations.push(evacuation);
    this.store.put(`op/evacuate/${zoneOf(index)}`, {});
    return evacuation;
  }

  /** Operators take the zone back, unless another order for it stands. */
  takeBack(evacuation: SoakEvacuation): void {
    evacuation.untilMs = performance.now();
    const zone = zoneOf(evacuation.index);
    const isOfZone = ({ index }: SoakEvacuation) => zoneOf(index) === zone;
    if (!this.evacuations.some((other) => isOfZone(other) && other.untilMs === Infinity)) {
      this.store.remove(`op/evacuate/${zone}`);
    }
  }

  /** The announcement of a back end lapses though it lives. */
  lapseBackend(index: number): void {
    this.store.remove(`servers/${this.backends[index]!.id}`);
  }

  /** The region of a back end, also of an incarnation that is gone. */
  regionOfBackend(id: string): string {
    return SOAK_REGIONS[zoneOf(Number(/^e-(\d+)/.exec(id)![1]))]!;
  }

  /**
   * Gives the back end at an address another life, every other time under the name that it has. That one's process
   * is another, so its port is closed for a while first; the others answer that they are not meant.
   */
  replaceBackend(index: number): void {
    const backend = this.backends[index]!;
    this.replaced += 1;
    if (this.replaced % 2 === 0) {
      this.store.remove(`servers/${backend.id}`);
      backend.id = `${backend.id}x`;
      this.beginLife(index);
      return;
    }
    const port = this.basePort + PORTS.backend;
    void this.backendProxies[index]!.closeFor(REBORN_AWAY_MS, backendHost(index), port);
    setTimeout(() => this.beginLife(index), REBORN_AWAY_MS).unref();
  }

  private beginLife(index: number): void {
    const backend = this.backends[index]!;
    backend.bornAtMs = Date.now();
    // Whoever left under that name is another life.
    this.drainedAtMs.delete(backend.id);
    backend.coldUntilMs = performance.now() + COLD_MS;
    this.announce(index, 'ready');
  }

  private async startBackend(index: number): Promise<void> {
    const isLinkWell = () => this.backendProxies[index]?.mood === 'passes';
    const backend = new SoakBackend(`e-${index}`, this.random, this.onRun, isLinkWell);
    await backend.start(backendHost(index), this.basePort + PORTS.real);
    const proxy = new LoopbackProxy(backendHost(index), this.basePort + PORTS.real);
    await proxy.start(backendHost(index), this.basePort + PORTS.backend);
    this.backends.push(backend);
    this.backendProxies.push(proxy);
    this.announce(index, 'ready');
    this.agents.push(this.startProcess(`agent-${index}`, this.agentSettings(index)));
  }

  private startProcess(name: string, settings: string): SoakProcess {
    const path = join(this.folder, `${name}.ini`);
    writeFileSync(path, settings);
    const started = new SoakProcess(name, path, join(this.folder, `${name}.log`));
    started.start();
    return started;
  }

  private gatewaySettings(index: number): string {
    const at = (port: number) => `${gatewayHost(index)}:${this.basePort + port}`;
    const lines = [
      ...this.processSettings('gateway', index, gatewayHost(index)),
      '[listen]',
      `callers = ${at(PORTS.callers)}`,
      `readiness = ${at(PORTS.readiness)}`,
      `peers = ${at(PORTS.peers)}`,
      `slotAgentPort = ${this.basePort + PORTS.agent}`,
      '[cluster]',
      `seeds = ${this.seeds()}`,
      `store = ${at(PORTS.storeProxy)}`,
      'storeTimeoutMs = 700',
      ...coldLimits(),
      `stopGraceS = ${GRACE_S}`,
    ];
    return lines.join('\n');
  }

  private agentSettings(index: number): string {
    const lines = [
      ...this.processSettings('slot-agent', index, backendHost(index)),
      '[listen]',
      `slotAgentPort = ${this.basePort + PORTS.agent}`,
      '[cluster]',
      `seeds = ${this.seeds()}`,
      '[engine]',
      `address = ${backendHost(index)}:${this.basePort + PORTS.real}`,
      ...coldLimits(),
    ];
    return lines.join('\n');
  }

  private processSettings(
    role: 'gateway' | 'slot-agent',
    index: number,
    address: string,
  ): string[] {
    const name = role === 'gateway' ? `gateway-${index}` : `agent-${index}`;
    return [
      '[process]',
      `role = ${role}`,
      `name = ${name}`,
      `zone = ${zoneOf(index)}`,
      `address = ${address}`,
      '[places]',
      `zones = ${SOAK_ZONES.map((zone) => `${zone}:${SOAK_REGIONS[zone]}`).join(', ')}`,
    ];
  }

  private seeds(): string {
    return [0, 1].map((index) => `${gatewayHost(index)}:${this.basePort + PORTS.peers}`).join(',');
  }
}

function coldLimits(): string[] {
  return ['[limits]', `coldOver = ${COLD_OVER}`, `coldSlack = ${COLD_SLACK}`];
}

function gatewayHost(index: number): string {
  return `127.0.1.${10 + index}`;
}

function backendHost(index: number): string {
  return `127.0.2.${10 + index}`;
}
