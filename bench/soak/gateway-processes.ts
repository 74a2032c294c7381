/** Starts gateways as processes on loopback, each with its own address, for fleet benchmarks. */
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SoakProcess } from './soak-fleet.js';

/** Addresses of a fleet's processes and the name of their log folder. */
export interface GatewayProcessesOptions {
  /** First three octets of the gateways' addresses. */
  readonly network: string;
  /** Base to which port offsets are added. */
  readonly basePort: number;
  /** Part of the name of the folder for settings and logs. */
  readonly folderName: string;
}

/** Settings of one gateway that differ from the defaults. */
export interface GatewayOverrides {
  /** Additional lines of the settings file, including section headers. */
  readonly settingsLines?: readonly string[];
  /** Whether the gateway has no connections to other gateways. */
  readonly isIsolated?: boolean;
}

/** Port offsets from the base port. */
const PORTS = { callers: 1, readiness: 2, peers: 3 };
const FIRST_HOST = 10;
const UNUSED_HOST = 250;
const ZONES = 3;
const SEED_INDEXES = [0, 1, 2];
const POLL_MS = 100;
const READY_LIMIT_MS = 20_000;

/** The processes of a fleet. */
export class GatewayProcesses {
  readonly folder: string;
  readonly gateways: SoakProcess[] = [];
  private readonly otherProcesses: SoakProcess[] = [];

  constructor(private readonly options: GatewayProcessesOptions) {
    this.folder = mkdtempSync(join(tmpdir(), `weirvale-${options.folderName}-`));
  }

  /** Returns the IP address of a gateway. */
  hostOf(index: number): string {
    return `${this.options.network}.${FIRST_HOST + index}`;
  }

  /** Returns the port on which gateways accept callers. */
  callersPort(): number {
    return this.options.basePort + PORTS.callers;
  }

  /** Seed addresses of the peers, IP:PORT, separated by commas. */
  get seeds(): string {
    return SEED_INDEXES.map((index) => this.addressOf(index, PORTS.peers)).join(',');
  }

  /** A seed address on which nothing listens. */
  private get unreachableSeed(): string {
    return `${this.options.network}.${UNUSED_HOST}:${this.options.basePort + PORTS.peers}`;
  }

  /** Starts another gateway. */
  startGateway(
    store: string,
    { settingsLines = [], isIsolated = false }: GatewayOverrides = {},
  ): void {
    const index = this.gateways.length;
    const name = `gateway-${index}`;
    const settings = [
      '[process]',
      'role = gateway',
      `name = ${name}`,
      `zone = z${index % ZONES}`,
      `address = ${this.hostOf(index)}`,
      '[listen]',
      `callers = ${this.addressOf(index, PORTS.callers)}`,
      `readiness = ${this.addressOf(index, PORTS.readiness)}`,
      `peers = ${isIsolated ? '' : this.addressOf(index, PORTS.peers)}`,
      '[cluster]',
      `seeds = ${isIsolated ? this.unreachableSeed : this.seeds}`,
      `store = ${store}`,
      'storeTimeoutMs = 700',
      ...settingsLines,
    ];
    this.gateways.push(this.launch(name, settings));
  }

  /** Starts a process that is not a gateway. */
  startOtherProcess(name: string, settings: readonly string[]): SoakProcess {
    const started = this.launch(name, settings);
    this.otherProcesses.push(started);
    return started;
  }

  /** Waits until the readiness endpoints of all gateways return 200. */
  async waitUntilReady(): Promise<void> {
    const endAtMs = performance.now() + READY_LIMIT_MS;
    const isReady = (_gateway: SoakProcess, index: number) =>
      fetch(`http://${this.addressOf(index, PORTS.readiness)}/-/ready`)
        .then(({ status }) => status === 200)
        .catch(() => false);
    while (!(await Promise.all(this.gateways.map(isReady))).every(Boolean)) {
      if (performance.now() > endAtMs) {
        throw new Error(`gateways are not ready in time; logs in ${this.folder}`);
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  /** Kills all processes; reports those that ended by themselves and makes this process fail. */
  stop(): void {
    const processes = [...this.gateways, ...this.otherProcesses];
    for (const end of processes.flatMap(({ ownEnds }) => ownEnds)) {
      console.error(`VIOLATION ${end}; logs in ${this.folder}`);
      process.exitCode = 1;
    }
    [...this.gateways, ...this.otherProcesses].forEach((child) => child.stop());
  }

  private launch(name: string, settings: readonly string[]): SoakProcess {
    const path = join(this.folder, `${name}.ini`);
    writeFileSync(path, settings.join('\n'));
    const launched = new SoakProcess(name, path, join(this.folder, `${name}.log`));
    launched.start();
    return launched;
  }

  private addressOf(index: number, port: number): string {
    return `${this.hostOf(index)}:${this.options.basePort + port}`;
  }
}
