/** Gateways as separate processes on loopback, each at an address of its own, for harnesses that measure a fleet. */
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SoakProcess } from './soak-fleet.js';

/** Where a fleet's processes listen and keep their logs. */
export interface GatewayProcessesOptions {
  /** First three numbers of the gateways' addresses. */
  readonly network: string;
  /** First of the ports. */
  readonly basePort: number;
  /** What the folder of settings and logs is named after. */
  readonly folderName: string;
}

/** What one gateway has otherwise than the rest. */
export interface GatewayDifference {
  /** Lines of further settings, with their sections. */
  readonly lines?: readonly string[];
  /** Whether it reaches no other gateway and is reached by none. */
  readonly isApart?: boolean;
}

/** Offsets of the ports. */
const PORTS = { callers: 1, readiness: 2, peers: 3 };
const FIRST_HOST = 10;
const DEAD_HOST = 250;
const ZONES = 3;
const SEEDS = [0, 1, 2];
const LOOK_MS = 100;
const READY_LIMIT_MS = 20_000;

/** The processes of a fleet. */
export class GatewayProcesses {
  readonly folder: string;
  readonly gateways: SoakProcess[] = [];
  private readonly others: SoakProcess[] = [];

  constructor(private readonly options: GatewayProcessesOptions) {
    this.folder = mkdtempSync(join(tmpdir(), `weirvale-${options.folderName}-`));
  }

  /** Address of a gateway's machine. */
  hostOf(index: number): string {
    return `${this.options.network}.${FIRST_HOST + index}`;
  }

  /** Where a gateway takes callers. */
  callersPort(): number {
    return this.options.basePort + PORTS.callers;
  }

  /** Addresses of peers that are known from the start, IP:PORT. */
  get seeds(): string {
    return SEEDS.map((index) => this.at(index, PORTS.peers)).join(',');
  }

  /** Nothing listens there. */
  private get deadSeed(): string {
    return `${this.options.network}.${DEAD_HOST}:${this.options.basePort + PORTS.peers}`;
  }

  /** Starts the next gateway. */
  startGateway(store: string, { lines = [], isApart = false }: GatewayDifference = {}): void {
    const index = this.gateways.length;
    const name = `gateway-${index}`;
    const settings = [
      '[process]',
      'role = gateway',
      `name = ${name}`,
      `zone = z${index % ZONES}`,
      `address = ${this.hostOf(index)}`,
      '[listen]',
      `callers = ${this.at(index, PORTS.callers)}`,
      `readiness = ${this.at(index, PORTS.readiness)}`,
      `peers = ${isApart ? '' : this.at(index, PORTS.peers)}`,
      '[cluster]',
      `seeds = ${isApart ? this.deadSeed : this.seeds}`,
      `store = ${store}`,
      'storeTimeoutMs = 700',
      ...lines,
    ];
    this.gateways.push(this.launch(name, settings));
  }

  /** Starts a process that is no gateway. */
  startOther(name: string, settings: readonly string[]): void {
    this.others.push(this.launch(name, settings));
  }

  /** Waits until all gateways say that they are ready. */
  async untilReady(): Promise<void> {
    const endAtMs = performance.now() + READY_LIMIT_MS;
    const isReady = (_gateway: SoakProcess, index: number) =>
      fetch(`http://${this.at(index, PORTS.readiness)}/-/ready`)
        .then(({ status }) => status === 200)
        .catch(() => false);
    while (!(await Promise.all(this.gateways.map(isReady))).every(Boolean)) {
      if (performance.now() > endAtMs) {
        throw new Error(`the gateways are not ready; logs in ${this.folder}`);
      }
      await new Promise((resolve) => setTimeout(resolve, LOOK_MS));
    }
  }

  /** Ends every process. */
  stop(): void {
    [...this.gateways, ...this.others].forEach((each) => each.stop());
  }

  private launch(name: string, settings: readonly string[]): SoakProcess {
    const path = join(this.folder, `${name}.ini`);
    writeFileSync(path, settings.join('\n'));
    const launched = new SoakProcess(name, path, join(this.folder, `${name}.log`));
    launched.start();
    return launched;
  }

  private at(index: number, port: number): string {
    return `${this.hostOf(index)}:${this.options.basePort + port}`;
  }
}
