/**
 * Runs gateway processes on loopback that get little processor time, while callers arrive in bursts
 * and some of them leave before they are answered, and counts what backends receive afterwards.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { SeededRandom } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { FakeStore } from '../../test/support/fake-platform.js';
import { BackendServers } from './backend-servers.js';
import { GatewayProcesses } from './gateway-processes.js';
import { runAndStop } from './run-and-stop.js';

/** Which connections the callers of a burst use. */
export type CallerConnections = 'new' | 'kept';

/** Kind of the route that the callers use. */
export type DepartureRouteKind = 'safe' | 'unsafe' | 'streaming';

/** Options of a run. */
export interface DepartureRunOptions {
  readonly gateways: number;
  readonly connections: CallerConnections;
  readonly kind: DepartureRouteKind;
  /** Callers of a burst, at each gateway. */
  readonly callersPerBurst: number;
  readonly bursts: number;
  /** Share of the callers that leave early. */
  readonly departingShare: number;
  /** Time for which a gateway runs in each period of 100 ms, in milliseconds; 100 never pauses. */
  readonly runMsPerPeriod: number;
  /** Time that a backend works on a request, in milliseconds. */
  readonly workMs: number;
  /** Requests that a backend runs at once; beyond it, gateways let requests wait. */
  readonly slots: number;
  /** Bytes of a request's body. */
  readonly bodyBytes: number;
  readonly seed: number;
  /** First port; each host uses several. */
  readonly basePort: number;
}

/** Results of a run. */
export interface DepartureRunReport {
  /** Callers that left before they were answered. */
  readonly departed: number;
  /** Requests that reached a backend too long after their callers had left. */
  readonly sentAfterDeparture: number;
  /** Peak time from a caller's departure to the arrival of its request, in milliseconds. */
  readonly worstDelayMs: number;
  /** Requests that would have run too long after their callers had left. */
  readonly outlasting: number;
  /** Those of them that still ran then. */
  readonly keptRunning: number;
  /** Fraction of the callers that stay that got a success. */
  readonly served: number;
  /** 95th percentile of the time to their responses, in milliseconds. */
  readonly servedWithinMs: number;
  /** Gateways that ended by themselves. */
  readonly ownEnds: readonly string[];
  readonly folder: string;
}

const BACKEND_COUNT = 4;
const PERIOD_MS = 100;
const SETTLE_MS = 2_000;
const BURST_INTERVAL_MS = 3_500;
const DEADLINE_MS = 3_000;
const DEPARTURE_MS = { min: 100, max: 1_000 };
/** Interval in which the connections of a burst are prepared, one request on each. */
const PREPARE_INTERVAL_MS = 12;
/** Time after a caller's departure in which its request may still reach a backend, in milliseconds. */
const NOTICE_MS = 500;
const PERCENTILE = 0.95;

/** A request of one caller; times in milliseconds. */
interface CallerRecord {
  readonly id: string;
  readonly isDeparting: boolean;
  readonly sentAtMs: number;
  leftAtMs: number | undefined;
  status: number | undefined;
  endedAtMs: number | undefined;
}

/** A run of a request at a backend; times in milliseconds. */
interface BackendRun {
  readonly id: string;
  readonly startedAtMs: number;
  endedAtMs: number;
}

/** Runs one scenario and returns its results. */
export function runDepartures(options: DepartureRunOptions): Promise<DepartureRunReport> {
  return runAndStop(new DepartureRun(options));
}

class DepartureRun {
  private readonly random: RandomSource;
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private readonly servers = new BackendServers();
  private readonly callers = new Map<string, CallerRecord>();
  private readonly runs: BackendRun[] = [];
  private readonly timers = new Set<NodeJS.Timeout>();
  private nextId = 0;

  constructor(private readonly options: DepartureRunOptions) {
    this.random = new SeededRandom(options.seed);
    const { basePort } = options;
    this.processes = new GatewayProcesses({
      network: '127.0.7',
      basePort,
      folderName: 'departure',
    });
  }

  async run(): Promise<DepartureRunReport> {
    const store = await this.store.start();
    this.configure();
    for (let index = 0; index < BACKEND_COUNT; index += 1) {
      await this.startBackend(index);
    }
    for (let index = 0; index < this.options.gateways; index += 1) {
      this.processes.startGateway(store);
    }
    await this.processes.waitUntilReady();
    await delay(SETTLE_MS);
    for (let burst = 0; burst < this.options.bursts; burst += 1) {
      const connections = await this.prepareConnections();
      this.limitProcessorTime();
      connections.forEach(({ host, socket }) => this.startCaller(host, socket));
      await delay(BURST_INTERVAL_MS);
      this.liftProcessorLimit();
    }
    return this.report();
  }

  stop(): void {
    this.liftProcessorLimit();
    this.processes.stop();
    this.servers.stop();
    this.store.stop();
  }

  private configure(): void {
    this.store.put('op/config', {
      version: 1,
      routes: [
        {
          name: 'work',
          host: 'departure.example',
          pathPrefix: '/task/',
          kind: this.options.kind,
          timeoutMs: DEADLINE_MS,
          targetLatencyMs: 500,
          maxAttempts: 2,
          priority: 1,
          service: 'plain',
        },
      ],
      services: [{ name: 'plain', maxConnections: 1_000 }],
    });
  }

  private async startBackend(index: number): Promise<void> {
    const { basePort, slots } = this.options;
    const { address } = await this.servers.start(
      `127.0.8.${10 + index}`,
      basePort + 6,
      (request, response) => this.handleRequest(request, response),
    );
    this.store.announce(`b-${index}`, { address, service: 'plain', slots });
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const id = String(request.headers['x-weirvale-attempt-id']);
    request.resume();
    const run: BackendRun = { id, startedAtMs: performance.now(), endedAtMs: Infinity };
    this.runs.push(run);
    response.on('close', () => (run.endedAtMs = performance.now()));
    setTimeout(() => {
      if (!response.destroyed) {
        const isStream = this.options.kind === 'streaming';
        const contentType = isStream ? 'text/event-stream' : 'text/plain';
        response.writeHead(200, { 'X-Weirvale-Attempt-Id': id, 'Content-Type': contentType });
        response.end(isStream ? 'id: 1\ndata: done\n\n' : 'done');
      }
    }, this.options.workMs);
  }

  /** Returns one connection for each caller of a burst; undefined if the caller opens its own. */
  private async prepareConnections(): Promise<Array<{ host: string; socket: Socket | undefined }>> {
    const { gateways, callersPerBurst, connections } = this.options;
    const prepared: Array<{ host: string; socket: Socket | undefined }> = [];
    for (let index = 0; index < gateways * callersPerBurst; index += 1) {
      const host = this.processes.hostOf(index % gateways);
      const socket = connections === 'kept' ? await this.openKeptConnection(host) : undefined;
      prepared.push({ host, socket });
    }
    return prepared;
  }

  private async openKeptConnection(host: string): Promise<Socket> {
    const socket = connect(this.processes.callersPort(), host);
    socket.on('error', () => undefined);
    socket.write(this.requestText(`prepare-${this.nextId++}`));
    await new Promise<void>((resolve) => {
      socket.once('data', () => resolve());
      socket.once('close', () => resolve());
    });
    await delay(PREPARE_INTERVAL_MS / this.options.gateways);
    return socket;
  }

  private startCaller(host: string, kept: Socket | undefined): void {
    const id = `c-${this.nextId++}`;
    const caller: CallerRecord = {
      id,
      isDeparting: this.random.next() < this.options.departingShare,
      sentAtMs: performance.now(),
      leftAtMs: undefined,
      status: undefined,
      endedAtMs: undefined,
    };
    this.callers.set(id, caller);
    const socket = kept ?? connect(this.processes.callersPort(), host);
    socket.on('error', () => undefined);
    socket.write(this.requestText(id));
    socket.once('data', (bytes: Buffer) => {
      caller.status ??= Number(bytes.toString('latin1').slice(9, 12));
      caller.endedAtMs ??= performance.now();
      socket.destroy();
    });
    const { min, max } = DEPARTURE_MS;
    const waitMs = caller.isDeparting ? min + this.random.next() * (max - min) : DEADLINE_MS;
    setTimeout(() => {
      if (caller.status === undefined) {
        caller.leftAtMs = performance.now();
        socket.destroy();
      }
    }, waitMs);
  }

  private requestText(id: string): string {
    const { bodyBytes } = this.options;
    return (
      `POST /task/${id} HTTP/1.1\r\nHost: departure.example\r\nX-Weirvale-Attempt-Id: ${id}\r\n` +
      `X-Weirvale-Deadline-Ms: ${DEADLINE_MS}\r\nContent-Length: ${bodyBytes}\r\n\r\n` +
      'x'.repeat(bodyBytes)
    );
  }

  private limitProcessorTime(): void {
    const { runMsPerPeriod } = this.options;
    if (runMsPerPeriod >= PERIOD_MS) {
      return;
    }
    const signalAll = (name: NodeJS.Signals) =>
      this.processes.gateways.forEach((gateway) => gateway.signal(name));
    const runPeriod = () => {
      signalAll('SIGCONT');
      this.timers.add(setTimeout(() => signalAll('SIGSTOP'), runMsPerPeriod));
    };
    signalAll('SIGSTOP');
    this.timers.add(setInterval(runPeriod, PERIOD_MS));
  }

  private liftProcessorLimit(): void {
    this.timers.forEach((timer) => clearTimeout(timer));
    this.timers.clear();
    this.processes.gateways.forEach((gateway) => gateway.signal('SIGCONT'));
  }

  private report(): DepartureRunReport {
    const delaysMs = this.runs.map(({ id, startedAtMs }) => startedAtMs - this.departureOf(id));
    const outlasting = this.runs.filter(
      ({ id, startedAtMs }) =>
        startedAtMs <= this.departureOf(id) + NOTICE_MS &&
        startedAtMs + this.options.workMs > this.departureOf(id) + NOTICE_MS,
    );
    const staying = [...this.callers.values()].filter(({ isDeparting }) => !isDeparting);
    const served = staying.filter(({ status }) => status === 200);
    const timesMs = served.map(({ sentAtMs, endedAtMs }) => endedAtMs! - sentAtMs);
    timesMs.sort((one, other) => one - other);
    return {
      departed: [...this.callers.values()].filter(({ leftAtMs }) => leftAtMs !== undefined).length,
      sentAfterDeparture: delaysMs.filter((delayMs) => delayMs > NOTICE_MS).length,
      worstDelayMs: Math.round(Math.max(0, ...delaysMs)),
      outlasting: outlasting.length,
      keptRunning: outlasting.filter(
        ({ id, endedAtMs }) => endedAtMs > this.departureOf(id) + NOTICE_MS,
      ).length,
      served: served.length / Math.max(1, staying.length),
      servedWithinMs: Math.round(timesMs[Math.floor(timesMs.length * PERCENTILE)] ?? Infinity),
      ownEnds: this.processes.gateways.flatMap(({ ownEnds }) => ownEnds),
      folder: this.processes.folder,
    };
  }

  /** Time at which the caller of a request left, in milliseconds; Infinity if it did not. */
  private departureOf(id: string): number {
    return this.callers.get(id)?.leftAtMs ?? Infinity;
  }
}
