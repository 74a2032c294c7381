/** The backend processes of a run, with their records in the store and their slot agents. */
import { setTimeout as delay } from 'node:timers/promises';
import type { FakeStore } from '../../test/support/fake-platform.js';
import type { GatewayProcesses } from './gateway-processes.js';
import { PausedBackend } from './paused-backend.js';
import { ENGINE_SERVICE, PLAIN_SERVICES } from './silence-configuration.js';
import type { SoakProcess } from './soak-fleet.js';

/** Settings of the backends of a run. */
export interface PausedFleetOptions {
  /** First port; each host uses several. */
  readonly basePort: number;
  readonly hasAgents: boolean;
}

/** Number of engines, and of the slots of each. */
export const ENGINES = 6;
/** Number of requests that an engine executes at once. */
export const ENGINE_SLOTS = 8;
/** Number of zones of the backends. */
export const ZONES = 3;

const PLAIN_BACKENDS = 4;
const PLAIN_SLOTS = 20;
const NETWORK = '127.0.9';
const FIRST_HOST = 50;
const AGENT_PORT_OFFSET = 5;
const BACKEND_PORT_OFFSET = 6;
/** Time after the draining announcement in which a backend serves on at least, in milliseconds. */
const DRAIN_MS = 2_000;

/** Starts, announces and replaces backends. */
export class PausedFleet {
  /** Backends that serve, including draining ones. */
  readonly backends: PausedBackend[] = [];
  /** Backends that were replaced, some of which serve on. */
  readonly replaced: PausedBackend[] = [];
  private readonly agents = new Map<PausedBackend, SoakProcess>();
  private startCount = 0;

  constructor(
    private readonly store: FakeStore,
    private readonly processes: GatewayProcesses,
    private readonly options: PausedFleetOptions,
  ) {}

  /** Starts and announces all backends. */
  async start(): Promise<void> {
    const engines = Array.from({ length: ENGINES }, (_none, index) =>
      this.create('engine', ENGINE_SERVICE, zoneOf(index)),
    );
    const plain = Array.from({ length: PLAIN_BACKENDS }, (_none, index) =>
      this.create('plain', PLAIN_SERVICES[index % PLAIN_SERVICES.length]!, zoneOf(index)),
    );
    for (const backend of [...engines, ...plain]) {
      await this.addBackend(backend);
    }
  }

  /** Engines that are not draining. */
  get engines(): PausedBackend[] {
    return this.backends.filter(({ options }) => options.kind === 'engine');
  }

  /** Every backend that was started. */
  get all(): PausedBackend[] {
    return [...this.backends, ...this.replaced];
  }

  /** Writes the record of a backend. */
  announce(backend: PausedBackend, state: 'ready' | 'draining'): void {
    const { id, address, bornAtMs, options } = backend;
    const { kind, zone, service } = options;
    const slots = kind === 'engine' ? ENGINE_SLOTS : PLAIN_SLOTS;
    this.store.announce(id, { address, service, slots, zone, state, born: bornAtMs });
  }

  /** Removes the record of a backend. */
  withdraw({ id }: PausedBackend): void {
    this.store.remove(`servers/${id}`);
  }

  /** Replaces an engine by one of another id; the old one drains and stands still at once. */
  async replace(old: PausedBackend, pauseMs: number): Promise<void> {
    const next = this.create('engine', old.options.service, old.options.zone);
    await this.addBackend(next);
    this.drain(old, pauseMs);
    void this.endAfterDrain(old, () => this.withdraw(old));
  }

  /** Replaces an engine by one that takes over its id `afterMs` after it began to drain. */
  async replaceUnderItsId(old: PausedBackend, pauseMs: number, afterMs: number): Promise<void> {
    const next = this.create('engine', old.options.service, old.options.zone, old.id);
    await next.untilListening();
    this.drain(old, pauseMs);
    await delay(afterMs);
    await this.addBackend(next);
    void this.endAfterDrain(old, () => undefined);
  }

  stop(): void {
    this.all.forEach((backend) => backend.stop());
  }

  private drain(old: PausedBackend, pauseMs: number): void {
    this.backends.splice(this.backends.indexOf(old), 1);
    this.replaced.push(old);
    this.announce(old, 'draining');
    old.pause(pauseMs);
  }

  private async endAfterDrain(old: PausedBackend, onEnd: () => void): Promise<void> {
    await delay(DRAIN_MS);
    await old.endWhenIdle();
    onEnd();
    this.agents.get(old)?.stop();
  }

  private create(
    kind: 'engine' | 'plain',
    service: string,
    zone: string,
    id = `${kind}-${this.startCount}`,
  ): PausedBackend {
    const host = `${NETWORK}.${FIRST_HOST + this.startCount}`;
    this.startCount += 1;
    const port = this.options.basePort + BACKEND_PORT_OFFSET;
    return new PausedBackend({ id, kind, host, port, zone, service });
  }

  private async addBackend(backend: PausedBackend): Promise<void> {
    await backend.untilListening();
    this.backends.push(backend);
    if (this.options.hasAgents && backend.options.kind === 'engine') {
      this.agents.set(backend, this.startAgent(backend));
    }
    this.announce(backend, 'ready');
  }

  private startAgent({ address, options }: PausedBackend): SoakProcess {
    const name = `agent-${options.host}`;
    return this.processes.startOtherProcess(name, [
      '[process]',
      'role = slot-agent',
      `name = ${name}`,
      `zone = ${options.zone}`,
      `address = ${options.host}`,
      '[listen]',
      `slotAgentPort = ${this.options.basePort + AGENT_PORT_OFFSET}`,
      '[cluster]',
      `seeds = ${this.processes.seeds}`,
      '[engine]',
      `address = ${address}`,
    ]);
  }
}

function zoneOf(index: number): string {
  return `z${index % ZONES}`;
}
