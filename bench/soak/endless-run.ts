/**
 * Runs gateway processes on loopback while one backend of each service responds with bytes without
 * end, and measures what callers of the sound ones get and how much memory the gateways take.
 */
import { readFileSync } from 'node:fs';
import { request as httpRequest, Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { RequestListener } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { FakeStore } from '../../test/support/fake-platform.js';
import { RawBackend, chunk, streamHead } from '../../test/support/raw-backend.js';
import { BackendServers } from './backend-servers.js';
import { GatewayProcesses } from './gateway-processes.js';
import { runAndStop } from './run-and-stop.js';

/** What the faulty backend sends until the other side closes. */
export type EndlessBytes =
  | 'none'
  | 'one-byte-chunks'
  | 'kilobyte-chunks'
  | 'interim'
  | 'small-events'
  | 'comments'
  | 'unframed';

/** Options of a run. */
export interface EndlessRunOptions {
  readonly bytes: EndlessBytes;
  readonly gateways: number;
  /** Bytes per second on each connection. */
  readonly bytesPerS: number;
  readonly durationMs: number;
  /** First port; each host uses several. */
  readonly basePort: number;
}

/** Results of a run. */
export interface EndlessRunReport {
  /** Fraction of all requests that got a success, those sent to the faulty backend first included. */
  readonly served: number;
  /** Requests that ended later than their deadline. */
  readonly pastDeadline: number;
  readonly requests: number;
  /** Requests that reached the faulty backend. */
  readonly metFaulty: number;
  /** Peak growth of the memory of a gateway, in MB. */
  readonly memoryGrowthMb: number;
  readonly ownEnds: readonly string[];
  readonly folder: string;
}

const SOUND_BACKENDS = 2;
const SERVICE_MS = 20;
const DEADLINE_MS = 2_500;
const LATE_MS = 100;
const REQUESTS_PER_S = 25;
const SETTLE_MS = 3_000;
const TICK_MS = 20;
const MEMORY_INTERVAL_MS = 100;
const MS_PER_S = 1_000;
const KB_PER_MB = 1_024;
const KIND_OF: Readonly<Partial<Record<EndlessBytes, string>>> = {
  'small-events': 'streaming',
  comments: 'streaming',
};

/** Runs one scenario and returns its results. */
export function runEndless(options: EndlessRunOptions): Promise<EndlessRunReport> {
  return runAndStop(new EndlessRun(options));
}

class EndlessRun {
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private readonly servers = new BackendServers();
  private readonly faulty = new RawBackend(({ id }, socket) => this.flood(id, socket));
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 64 });
  private readonly timers = new Set<NodeJS.Timeout>();
  private sent = 0;
  private served = 0;
  private pastDeadline = 0;
  private peakMb = 0;

  constructor(private readonly options: EndlessRunOptions) {
    const { basePort } = options;
    this.processes = new GatewayProcesses({ network: '127.0.9', basePort, folderName: 'endless' });
  }

  async run(): Promise<EndlessRunReport> {
    const store = await this.store.start();
    this.configure();
    for (let index = 0; index < SOUND_BACKENDS; index += 1) {
      await this.startSoundBackend(index);
    }
    const address = await this.faulty.start();
    this.store.announce('faulty', { address, service: 'plain', slots: 50 });
    for (let index = 0; index < this.options.gateways; index += 1) {
      this.processes.startGateway(store);
    }
    await this.processes.waitUntilReady();
    await delay(SETTLE_MS);
    const calmMb = this.memoryMb();
    const intervalMs = MS_PER_S / REQUESTS_PER_S;
    this.timers.add(setInterval(() => this.sendToAll(), intervalMs));
    this.timers.add(
      setInterval(() => (this.peakMb = Math.max(this.peakMb, this.memoryMb())), MEMORY_INTERVAL_MS),
    );
    await delay(this.options.durationMs);
    this.stopTimers();
    await delay(DEADLINE_MS + MS_PER_S);
    return {
      served: this.served / this.sent,
      pastDeadline: this.pastDeadline,
      requests: this.sent,
      metFaulty: new Set(this.faulty.receivedIds).size,
      memoryGrowthMb: Math.round(this.peakMb - calmMb),
      ownEnds: this.processes.gateways.flatMap(({ ownEnds }) => ownEnds),
      folder: this.processes.folder,
    };
  }

  stop(): void {
    this.stopTimers();
    this.processes.stop();
    this.faulty.stop();
    this.servers.stop();
    this.agent.destroy();
    this.store.stop();
  }

  private stopTimers(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.timers.clear();
  }

  private configure(): void {
    const route = {
      name: 'read',
      host: 'endless.example',
      pathPrefix: '/read/',
      kind: KIND_OF[this.options.bytes] ?? 'safe',
      timeoutMs: DEADLINE_MS,
      targetLatencyMs: 400,
      maxAttempts: 2,
      priority: 1,
      service: 'plain',
    };
    const services = [{ name: 'plain', maxConnections: 400 }];
    this.store.put('op/config', { version: 1, routes: [route], services });
  }

  private async startSoundBackend(index: number): Promise<void> {
    const isStream = KIND_OF[this.options.bytes] !== undefined;
    const handleRequest: RequestListener = (request, response) => {
      request.resume();
      setTimeout(() => {
        response.writeHead(200, {
          'X-Weirvale-Attempt-Id': String(request.headers['x-weirvale-attempt-id']),
          'Content-Type': isStream ? 'text/event-stream' : 'text/plain',
        });
        response.end(isStream ? 'id: 1\ndata: done\n\n' : 'done');
      }, SERVICE_MS);
    };
    const host = `127.0.9.${200 + index}`;
    const port = this.options.basePort + 6;
    const { address } = await this.servers.start(host, port, handleRequest);
    this.store.announce(`sound-${index}`, { address, service: 'plain', slots: 50 });
  }

  private flood(id: string, socket: Socket): void {
    const { bytes, bytesPerS } = this.options;
    const named = `X-Weirvale-Attempt-Id: ${id}\r\n`;
    const heads: Readonly<Record<EndlessBytes, string>> = {
      none: `HTTP/1.1 200 OK\r\n${named}Content-Length: 4\r\n\r\ndone`,
      'one-byte-chunks': streamHead(id),
      'kilobyte-chunks': streamHead(id),
      interim: '',
      'small-events': streamHead(id),
      comments: streamHead(id),
      unframed: `HTTP/1.1 200 OK\r\n${named}\r\n`,
    };
    socket.write(heads[bytes]);
    if (bytes === 'none') {
      return;
    }
    const pieces: Readonly<Record<Exclude<EndlessBytes, 'none'>, Buffer>> = {
      'one-byte-chunks': chunk('x'),
      'kilobyte-chunks': chunk('x'.repeat(1_024)),
      interim: Buffer.from('HTTP/1.1 100 Continue\r\n\r\n'),
      'small-events': chunk('data: x\n\n'),
      comments: chunk(': x\n'),
      unframed: Buffer.alloc(1_024, 'x'),
    };
    const piece = pieces[bytes];
    const blockBytes = (bytesPerS * TICK_MS) / MS_PER_S;
    const count = Math.max(1, Math.round(blockBytes / piece.length));
    const block = Buffer.concat(Array.from({ length: count }, () => piece));
    const timer = setInterval(() => {
      if (!socket.writableNeedDrain) {
        socket.write(block);
      }
    }, TICK_MS);
    this.timers.add(timer);
    socket.on('close', () => clearInterval(timer));
  }

  private sendToAll(): void {
    for (let index = 0; index < this.options.gateways; index += 1) {
      this.sendTo(this.processes.hostOf(index));
    }
  }

  private sendTo(host: string): void {
    const id = `e-${this.sent++}`;
    const sentAtMs = performance.now();
    const end = (isServed: boolean) => {
      this.served += isServed ? 1 : 0;
      const isLate = performance.now() - sentAtMs > DEADLINE_MS + LATE_MS;
      this.pastDeadline += isLate ? 1 : 0;
    };
    const call = httpRequest(
      {
        host,
        port: this.processes.callersPort(),
        path: `/read/${id}`,
        agent: this.agent,
        headers: {
          Host: 'endless.example',
          'X-Weirvale-Attempt-Id': id,
          'X-Weirvale-Deadline-Ms': `${DEADLINE_MS}`,
        },
      },
      (response) => {
        response.resume();
        response.on('error', () => undefined);
        response.on('close', () => end(response.complete && response.statusCode === 200));
      },
    );
    call.on('error', () => end(false));
    call.end();
  }

  /** Memory of the largest gateway, in MB. */
  private memoryMb(): number {
    return Math.max(...this.processes.gateways.map(({ pid }) => residentMb(pid)));
  }
}

function residentMb(pid: number | undefined): number {
  const status = pid === undefined ? '' : readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
}
