/**
 * A fleet of gateway and agent processes on loopback, with a fake store and simulated backends.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, openSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { RandomSource } from '../../src/random.js';
import { FakeStore } from '../../test/support/fake-platform.js';
import {
  HANGUP_HANDLER_LIMIT_MS,
  handlesHangup,
  processorTimeMs,
} from '../../test/support/process-status.js';
import { LoopbackProxy } from './loopback-proxy.js';
import { SoakBackend } from './soak-backend.js';
import type { Execution } from './soak-backend.js';
import {
  FIXED_REGION_ROUTE,
  allowedRegionsOfVersion,
  CHANGING_REGION_ROUTE,
  SOAK_REGIONS,
  SOAK_ZONES,
  zoneOf,
} from './soak-regions.js';
import type { RegionChange } from './soak-regions.js';
import { routePrefix } from './soak-routes.js';
import type { RouteChange } from './soak-routes.js';

/** Size of the fleet. */
export interface SoakSizes {
  readonly gateways: number;
  readonly engines: number;
}

const TIMEOUT_MS = 2_500;
/** Long streams have time to wait for a silent backend and for another one. */
const LONG_TIMEOUT_MS = 6_000;

/** Returns the deadline of a request of a route, in milliseconds. */
export function soakTimeoutMs(route: string): number {
  return route === 'long' ? LONG_TIMEOUT_MS : TIMEOUT_MS;
}

/** API key of the only tenant. */
export const SOAK_API_KEY = 'soak-key';

/** Duration of a cold start, in milliseconds, and the requests per second allowed during it. */
const COLD_MS = 2_000;
const COLD_PER_S = 14;
const COLD_OVER_FACTOR = 1.5;
const COLD_SLACK = 5;
/** Maximum requests per second, from all gateways together, at a cold backend. */
export const SOAK_MAX_COLD_STARTS = COLD_PER_S * COLD_OVER_FACTOR + COLD_SLACK;

const PROGRAM = 'target/weirvale.cjs';
const STOP_GRACE_S = 4;
/** Time from the stop signal to the kill, in milliseconds. */
export const STOP_GRACE_MS = STOP_GRACE_S * 1_000;
/** Port offsets; `backend` is the proxy that forwards to `real`, the backend's own port. */
const PORTS = { callers: 1, readiness: 2, peers: 3, storeProxy: 4, agent: 5, backend: 6, real: 7 };

/** An end of a process that this test ordered; times in milliseconds. */
export interface ProcessEnd {
  readonly signal: 'SIGKILL' | 'SIGTERM';
  readonly atMs: number;
  /** Start of the next process; Infinity before. */
  restartedAtMs: number;
}

/** A time in which something was the case at a backend, by its index; in milliseconds. */
export interface BackendPeriod {
  readonly index: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A process that can be signalled and restarts after it exits. */
export class SoakProcess {
  /** End of the period in which its requests may fail because of a fault, in milliseconds. */
  disruptedUntilMs = 0;
  /** How it ended when this test had not ended it. */
  readonly ownEnds: string[] = [];
  readonly ends: ProcessEnd[] = [];
  /** Time from its end until it starts again, in milliseconds. */
  restartDelayMs = 150;
  private child: ChildProcess | undefined;
  private shouldRestart = true;
  private isEndExpected = false;

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
    for (const end of this.ends) {
      end.restartedAtMs = Math.min(end.restartedAtMs, performance.now());
    }
    child.on('exit', (code, signal) => {
      if (!this.isEndExpected && this.shouldRestart) {
        this.ownEnds.push(`${this.name} ended by itself (${code ?? signal})`);
      }
      this.isEndExpected = false;
      if (this.child === child) {
        this.child = undefined;
        setTimeout(() => this.shouldRestart && this.start(), this.restartDelayMs);
      }
    });
  }

  /** Process id of the current process; undefined while there is none. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /**
   * Sends SIGHUP if the process handles it already; no program under Node can before its first file
   * runs. A process that has run for longer without a handler is reported like one that ended.
   *
   * @returns whether the signal was sent
   */
  reload(): boolean {
    const { pid } = this;
    if (pid === undefined || this.isEndExpected) {
      return false;
    }
    const isHandled = handlesHangup(pid);
    if (isHandled) {
      this.signal('SIGHUP');
    } else if (processorTimeMs(pid) > HANGUP_HANDLER_LIMIT_MS) {
      this.ownEnds.push(`${this.name} handles SIGHUP later than it may`);
    }
    return isHandled;
  }

  /** Sends a signal to the process that this object started. */
  signal(name: NodeJS.Signals): void {
    if (name === 'SIGKILL' || name === 'SIGTERM') {
      this.isEndExpected = true;
      this.ends.push({ signal: name, atMs: performance.now(), restartedAtMs: Infinity });
    }
    this.child?.kill(name);
  }

  stop(): void {
    this.shouldRestart = false;
    this.signal('SIGCONT');
    this.signal('SIGKILL');
  }
}

/** Software versions that serve side by side. */
const SOAK_VERSIONS = ['v1', 'v2'] as const;

/** Downtime of a backend that restarts under its name, in milliseconds. */
const RESTART_DOWNTIME_MS = 700;

/** An evacuation of a backend's zone. */
export interface SoakEvacuation {
  /** Index of the backend whose zone is evacuated. */
  readonly index: number;
  readonly fromMs: number;
  /** Infinity while the evacuation is active. */
  untilMs: number;
}

/** All processes and servers of a soak test. */
export class SoakFleet {
  readonly store = new FakeStore();
  readonly gateways: SoakProcess[] = [];
  readonly agents: SoakProcess[] = [];
  readonly storeProxies: LoopbackProxy[] = [];
  readonly backendProxies: LoopbackProxy[] = [];
  readonly backends: SoakBackend[] = [];
  readonly folder = mkdtempSync(join(tmpdir(), 'weirvale-soak-'));
  /** Time at which backends announced that they are draining, by id. */
  readonly drainingSinceMs = new Map<string, number>();
  /** Changes of the allowed regions of `CHANGING_REGION_ROUTE`, oldest first. */
  readonly regionChanges: RegionChange[] = [];
  readonly evacuations: SoakEvacuation[] = [];
  /** Breaks of the connections to backends, by their links or their ends. */
  readonly breaks: BackendPeriod[] = [];
  /** Configurations that were written, oldest first. */
  readonly routeChanges: RouteChange[] = [];
  private regionsVersion = 0;
  /** Number of incarnations started by `replaceBackend`. */
  private replacementCount = 0;

  constructor(
    private readonly sizes: SoakSizes,
    private readonly basePort: number,
    private readonly random: RandomSource,
    private readonly onExecution: (execution: Execution) => void,
  ) {}

  /** Returns the address on which a gateway accepts callers. */
  callersAddress(index: number): { host: string; port: number } {
    return { host: gatewayHost(index), port: this.basePort + PORTS.callers };
  }

  /** Returns the URL of a gateway's readiness endpoint. */
  readinessUrl(index: number): string {
    return `http://${gatewayHost(index)}:${this.basePort + PORTS.readiness}/-/ready`;
  }

  async start(): Promise<void> {
    // Kills the child processes however the soak test ends.
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
    [...this.gateways, ...this.agents].forEach((child) => child.stop());
    [...this.storeProxies, ...this.backendProxies].forEach((proxy) => proxy.stop());
    this.backends.forEach((backend) => backend.stop());
    this.store.stop();
  }

  /** Processes that ended although this test had not ended them. */
  get ownEnds(): string[] {
    return [...this.gateways, ...this.agents].flatMap(({ ownEnds }) => ownEnds);
  }

  /** Writes a configuration with other allowed regions and another route. */
  changeConfiguration(): void {
    this.regionsVersion += 1;
    this.regionChanges.push({
      atMs: performance.now(),
      regions: allowedRegionsOfVersion(this.regionsVersion),
    });
    this.changeRoutes();
  }

  /** Writes a configuration with another route and the same allowed regions. */
  changeRoutes(): void {
    const version = this.routeChanges.length + 1;
    this.routeChanges.push({ version, atMs: performance.now() });
    const route = (name: string, kind: string, resumable: boolean) => ({
      name,
      host: 'soak.example',
      pathPrefix: `/${name}/`,
      kind,
      resumable,
      timeoutMs: soakTimeoutMs(name),
      targetLatencyMs: 800,
      gapAimMs: 500,
      maxAttempts: kind === 'unsafe' ? 1 : 2,
      priority: 1,
      service: 'engines',
    });
    const regions = allowedRegionsOfVersion(this.regionsVersion);
    this.store.put('op/config', {
      version,
      routes: [
        route('safe', 'safe', false),
        route('unsafe', 'unsafe', false),
        route('stream', 'streaming', true),
        route('long', 'streaming', true),
        {
          ...route(FIXED_REGION_ROUTE.name, 'safe', false),
          allowedRegions: FIXED_REGION_ROUTE.regions,
        },
        { ...route(CHANGING_REGION_ROUTE, 'safe', false), allowedRegions: regions },
        // Its service has no backend: a response shows whether the route is known, at no load.
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
      tenants: [{ name: 'shop', apiKeys: [SOAK_API_KEY] }],
    });
  }

  /** Writes the announcement of a backend to the store. */
  announce(index: number, state: 'ready' | 'draining'): void {
    const address = `${backendHost(index)}:${this.basePort + PORTS.backend}`;
    const { id, bornAtMs, coldUntilMs, version } = this.backends[index]!;
    const coldRemainingMs = Math.max(0, Math.round(coldUntilMs - performance.now()));
    const zone = zoneOf(index);
    const fields = { service: 'engines', version, slots: 6, state, zone, coldRemainingMs };
    this.store.announce(id, { address, ...fields, born: bornAtMs });
  }

  /** Announces that a backend is draining; requests sent to it after the bound are violations. */
  drainBackend(index: number): void {
    this.drainingSinceMs.set(this.backends[index]!.id, performance.now());
    this.announce(index, 'draining');
  }

  /** Evacuates a backend's zone; requests sent there after the bound are violations. */
  evacuate(index: number): SoakEvacuation {
    const evacuation = { index, fromMs: performance.now(), untilMs: Infinity };
    this.evacuations.push(evacuation);
    this.store.put(`op/evacuate/${zoneOf(index)}`, {});
    return evacuation;
  }

  /** Ends the evacuation of the zone, unless another evacuation of it is active. */
  endEvacuation(evacuation: SoakEvacuation): void {
    evacuation.untilMs = performance.now();
    const zone = zoneOf(evacuation.index);
    const isOfZone = ({ index }: SoakEvacuation) => zoneOf(index) === zone;
    if (!this.evacuations.some((other) => isOfZone(other) && other.untilMs === Infinity)) {
      this.store.remove(`op/evacuate/${zone}`);
    }
  }

  /** Removes the announcement of a running backend, as if its lease had expired. */
  expireAnnouncement(index: number): void {
    this.store.remove(`servers/${this.backends[index]!.id}`);
  }

  /** Times in which backends were silent. */
  get silences(): BackendPeriod[] {
    return this.backends.flatMap(({ silences }, index) =>
      silences.map((silence) => ({ index, ...silence })),
    );
  }

  /** Returns the region of a backend, also for an earlier incarnation. */
  regionOfBackend(id: string): string {
    return SOAK_REGIONS[zoneOf(Number(/^e-(\d+)/.exec(id)![1]))]!;
  }

  /** Records that connections to a backend may break from now until `durationMs` later. */
  noteBreak(index: number, durationMs: number): void {
    const fromMs = performance.now();
    this.breaks.push({ index, fromMs, untilMs: fromMs + durationMs });
  }

  /**
   * Starts another incarnation at a backend's address, every other time under the same name. With
   * the same name it simulates a restart, so the port is closed for a while first; with another
   * name the backend refuses requests for the previous one as misdirected.
   */
  replaceBackend(index: number): void {
    const backend = this.backends[index]!;
    this.replacementCount += 1;
    this.noteBreak(index, 0);
    if (this.replacementCount % 2 === 0) {
      this.store.remove(`servers/${backend.id}`);
      backend.id = `${backend.id}x`;
      backend.version = SOAK_VERSIONS.find((version) => version !== backend.version)!;
      this.startIncarnation(index);
      return;
    }
    const port = this.basePort + PORTS.backend;
    void this.backendProxies[index]!.closeFor(RESTART_DOWNTIME_MS, backendHost(index), port);
    setTimeout(() => this.startIncarnation(index), RESTART_DOWNTIME_MS).unref();
  }

  private startIncarnation(index: number): void {
    const backend = this.backends[index]!;
    backend.bornAtMs = Date.now();
    // The draining state belonged to the previous incarnation.
    this.drainingSinceMs.delete(backend.id);
    backend.coldUntilMs = performance.now() + COLD_MS;
    this.announce(index, 'ready');
  }

  private async startBackend(index: number): Promise<void> {
    const isLinkHealthy = () => this.backendProxies[index]?.behavior === 'passes';
    const backend = new SoakBackend(`e-${index}`, this.random, this.onExecution, isLinkHealthy);
    backend.version = SOAK_VERSIONS[index % SOAK_VERSIONS.length]!;
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
      ...coldStartSettings(),
      `stopGraceS = ${STOP_GRACE_S}`,
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
      ...coldStartSettings(),
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

function coldStartSettings(): string[] {
  return ['[limits]', `coldOver = ${COLD_OVER_FACTOR}`, `coldSlack = ${COLD_SLACK}`];
}

function gatewayHost(index: number): string {
  return `127.0.1.${10 + index}`;
}

function backendHost(index: number): string {
  return `127.0.2.${10 + index}`;
}
