/**
 * Real gateways on loopback before back ends of which some say something of themselves in their answers: a limit, that
 * they leave, that they want a rest; or fail whatever they are given. What those back ends receive is counted.
 */
import { createServer, request as httpRequest, Agent } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { SeededRandom } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { FakeStore } from '../../test/support/platform-standin.js';
import { GatewayProcesses } from './gateway-processes.js';

/** What the back ends in trouble do with requests. */
export type BackendTrouble =
  /** They serve them and name a limit. */
  | 'limit'
  /** They serve them and say that they leave; their announcements do not. */
  | 'leaving'
  /** They turn all away at once and ask for a rest. */
  | 'rest'
  /** They turn all away at once. */
  | 'shed'
  /** They answer all at once with an error of their own. */
  | 'error'
  /** They reset all connections at once. */
  | 'reset';

/** One run of a fleet. */
export interface StatementRunOptions {
  readonly trouble: BackendTrouble;
  readonly gateways: number;
  /** Whether an agent stands beside each back end, which is an engine then. */
  readonly hasAgents: boolean;
  /** Back ends in trouble, of `BACKENDS`. */
  readonly inTrouble: number;
  readonly limitPerS?: number;
  /** Requests a second from all callers. Default 100. */
  readonly requestsPerS?: number;
  /** Whether gateways are killed in turn, one every half second. */
  readonly killsGateways?: boolean;
  /** Time after which the back ends are well again, in milliseconds; never where it is missing. */
  readonly wellAfterMs?: number;
  readonly seed: number;
  /** Time in trouble, in milliseconds. */
  readonly lengthMs: number;
  /** First of the ports; each host uses a few. */
  readonly basePort: number;
}

/** What was seen. */
export interface StatementRunReport {
  /** Most requests in a window at a back end that had named a limit, from gateways that it had told. */
  readonly limitWorst: number;
  readonly limitAllowed: number;
  /** What a back end with a limit got after the first seconds, as a share of it. */
  readonly limitUsed: number;
  /** Requests that were sent by callers later than they might be and reached a back end that had told their gateway that it leaves. */
  readonly lateToLeaving: number;
  /** Most requests of one gateway within a rest that it had been asked for. */
  readonly restWorst: number;
  /** Share of callers that were served while there was trouble. */
  readonly served: number;
  /** Requests that reached back ends in trouble once they were well again, a second. */
  readonly wellPerS: number;
  readonly folder: string;
}

/** Back ends of a fleet. */
export const BACKENDS = 6;
const SLOTS = 8;
const WORK_MS = 90;
const REST_S = 3;
/** From the first answer that names a limit to the moment from which a limit binds, in milliseconds. */
const LIMIT_BINDS_MS = 3_000;
const LIMIT_WINDOW_MS = 4_000;
const LIMIT_OVER = 1.5;
const LIMIT_SLACK = 5;
/** Time until a gateway heeds that a back end leaves, in milliseconds. */
const LEAVING_HEED_MS = 2_000;
/** Time until a gateway heeds what it was told, in milliseconds. */
const HEED_MS = 500;
const SETTLE_MS = 4_000;
const KILL_TURN_MS = 500;
const ASK_STEP_MS = 5;
const MS_PER_S = 1_000;
const UNSAFE_SHARE = 1 / 3;

interface Asked {
  readonly gateway: number;
  readonly sentAtMs: number;
  status: number;
}

interface Arrival {
  readonly gateway: number;
  readonly sentAtMs: number;
  readonly atMs: number;
}

/** Plays one run and reports. */
export async function runStatements(options: StatementRunOptions): Promise<StatementRunReport> {
  const run = new StatementRun(options);
  try {
    return await run.play();
  } finally {
    run.stop();
  }
}

class TroubledBackend {
  readonly arrivals: Arrival[] = [];
  firstSaidAtMs = Infinity;
  /** When each gateway was told first, and each time. */
  readonly toldAtMs = new Map<number, number>();
  readonly restsAsked: Array<{ readonly gateway: number; readonly atMs: number }> = [];

  noteTold(gateway: number, nowMs: number): void {
    this.firstSaidAtMs = Math.min(this.firstSaidAtMs, nowMs);
    if (!this.toldAtMs.has(gateway)) {
      this.toldAtMs.set(gateway, nowMs);
    }
  }

  /** Whether the gateway had been told `ms` before. */
  wasTold({ gateway, atMs }: Arrival, ms: number): boolean {
    return (this.toldAtMs.get(gateway) ?? Infinity) + ms <= atMs;
  }
}

class StatementRun {
  private readonly random: RandomSource;
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private readonly servers: Server[] = [];
  private readonly asked = new Map<string, Asked>();
  private readonly troubled = new Map<number, TroubledBackend>();
  private readonly running = new Map<number, number>();
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 64 });
  private readonly timers = new Set<NodeJS.Timeout>();
  private troubleFromMs = Infinity;

  constructor(private readonly options: StatementRunOptions) {
    this.random = new SeededRandom(options.seed);
    const { basePort } = options;
    this.processes = new GatewayProcesses({
      network: '127.0.5',
      basePort,
      folderName: 'statements',
    });
    for (let index = 0; index < options.inTrouble; index += 1) {
      this.troubled.set(index, new TroubledBackend());
    }
  }

  async play(): Promise<StatementRunReport> {
    process.once('exit', () => this.stop());
    const store = await this.store.start();
    this.configure();
    for (let index = 0; index < BACKENDS; index += 1) {
      await this.startBackend(index);
    }
    for (let index = 0; index < this.options.gateways; index += 1) {
      this.processes.startGateway(store, { lines: this.agentPortLines });
    }
    await this.processes.untilReady();
    await delay(SETTLE_MS);
    this.every(ASK_STEP_MS, () => this.askDue());
    await delay(MS_PER_S);
    this.troubleFromMs = performance.now();
    this.beginKills();
    await delay(this.options.lengthMs);
    const untilMs = performance.now();
    this.stopTimers();
    await delay(MS_PER_S);
    return this.report(untilMs);
  }

  stop(): void {
    this.stopTimers();
    this.processes.stop();
    this.servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
    this.agent.destroy();
    this.store.stop();
  }

  private beginKills(): void {
    let turn = 0;
    if (this.options.killsGateways === true) {
      const { gateways } = this.processes;
      this.every(KILL_TURN_MS, () => gateways[turn++ % gateways.length]!.signal('SIGKILL'));
    }
  }

  private stopTimers(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.timers.clear();
  }

  private every(periodMs: number, act: () => void): void {
    this.timers.add(setInterval(act, periodMs));
  }

  private configure(): void {
    const route = (name: string, kind: string, maxAttempts: number) => ({
      name,
      host: 'statements.example',
      pathPrefix: `/${name}/`,
      kind,
      timeoutMs: 2_500,
      targetLatencyMs: 800,
      maxAttempts,
      priority: 1,
      service: 'workers',
    });
    this.store.put('op/config', {
      version: 1,
      routes: [route('safe', 'safe', 2), route('unsafe', 'unsafe', 2)],
      services: [
        {
          name: 'workers',
          maxConnections: 400,
          ...(this.options.hasAgents ? { engine: { stride: 3 } } : {}),
        },
      ],
    });
  }

  private get isTroubled(): boolean {
    const sinceMs = performance.now() - this.troubleFromMs;
    return sinceMs >= 0 && sinceMs < (this.options.wellAfterMs ?? Infinity);
  }

  private async startBackend(index: number): Promise<void> {
    const server = createServer((request, response) => this.receive(index, request, response));
    server.keepAliveTimeout = 10_000;
    const port = this.options.basePort + 6;
    await new Promise<void>((resolve) => server.listen(port, backendHost(index), resolve));
    this.servers.push(server);
    const address = `${backendHost(index)}:${port}`;
    this.store.announce(`w-${index}`, { address, service: 'workers', slots: SLOTS, zone: 'z0' });
    if (this.options.hasAgents) {
      this.processes.startOther(`agent-${index}`, this.agentSettings(index, address));
    }
  }

  private receive(index: number, request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    if (request.url === '/-/report') {
      response.end(JSON.stringify({ waiting: 0, running: this.running.get(index) ?? 0 }));
      return;
    }
    const requestId = String(request.headers['x-weirvale-attempt-id']);
    response.setHeader('X-Weirvale-Attempt-Id', requestId);
    if (request.headers['x-weirvale-expect-instance'] !== `w-${index}`) {
      response.writeHead(421);
      response.end();
      return;
    }
    const troubled = this.troubled.get(index);
    if (troubled === undefined || this.troubleFromMs > performance.now()) {
      this.serve(index, response);
      return;
    }
    const { gateway, sentAtMs } = this.asked.get(requestId)!;
    troubled.arrivals.push({ gateway, sentAtMs, atMs: performance.now() });
    if (this.isTroubled) {
      this.answerInTrouble(index, troubled, gateway, request, response);
    } else {
      this.serve(index, response);
    }
  }

  private answerInTrouble(
    index: number,
    troubled: TroubledBackend,
    gateway: number,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const nowMs = performance.now();
    const { trouble, limitPerS = 2.4 } = this.options;
    if (trouble === 'limit') {
      response.setHeader('Server-Limit', `${limitPerS}`);
      this.serve(index, response, () => troubled.noteTold(gateway, performance.now()));
    } else if (trouble === 'leaving') {
      response.setHeader('Server-Leaving', '1');
      this.serve(index, response, () => troubled.noteTold(gateway, performance.now()));
    } else if (trouble === 'error') {
      response.writeHead(500);
      response.end();
    } else if (trouble === 'reset') {
      request.socket.resetAndDestroy();
    } else {
      if (trouble === 'rest') {
        troubled.restsAsked.push({ gateway, atMs: nowMs });
        response.setHeader('Retry-After', `${REST_S}`);
      }
      response.writeHead(503, { 'X-Weirvale-Not-Executed': '1' });
      response.end();
    }
  }

  private serve(index: number, response: ServerResponse, onServed = () => undefined as void): void {
    this.running.set(index, (this.running.get(index) ?? 0) + 1);
    setTimeout(() => {
      this.running.set(index, this.running.get(index)! - 1);
      onServed();
      response.end('done');
    }, WORK_MS);
  }

  /** Where gateways reach the agents beside back ends. */
  private get agentPortLines(): readonly string[] {
    return ['[listen]', `slotAgentPort = ${this.options.basePort + 5}`];
  }

  private agentSettings(index: number, engine: string): string[] {
    return [
      '[process]',
      'role = slot-agent',
      `name = agent-${index}`,
      'zone = z0',
      `address = ${backendHost(index)}`,
      '[listen]',
      `slotAgentPort = ${this.options.basePort + 5}`,
      '[cluster]',
      `seeds = ${this.processes.seeds}`,
      '[engine]',
      `address = ${engine}`,
    ];
  }

  private askDue(): void {
    const { requestsPerS = 100 } = this.options;
    for (let due = (requestsPerS * ASK_STEP_MS) / MS_PER_S; due > 0; due -= 1) {
      if (this.random.next() < due) {
        this.ask();
      }
    }
  }

  private ask(): void {
    const id = `c-${this.asked.size}`;
    const gateway = Math.floor(this.random.next() * this.options.gateways);
    const route = this.random.next() < UNSAFE_SHARE ? 'unsafe' : 'safe';
    const asked: Asked = { gateway, sentAtMs: performance.now(), status: 0 };
    this.asked.set(id, asked);
    const sent = httpRequest(
      {
        host: this.processes.hostOf(gateway),
        port: this.options.basePort + 1,
        path: `/${route}/${id}`,
        agent: this.agent,
        headers: {
          Host: 'statements.example',
          'X-Weirvale-Attempt-Id': id,
          'X-Weirvale-Deadline-Ms': '2000',
        },
      },
      (response) => {
        asked.status = response.statusCode ?? 0;
        response.resume();
        response.on('error', () => undefined);
      },
    );
    sent.on('error', () => undefined);
    sent.end();
  }

  private report(untilMs: number): StatementRunReport {
    const { limitPerS = 2.4, wellAfterMs } = this.options;
    const troubled = [...this.troubled.values()];
    const all = [...this.asked.values()].filter(
      ({ sentAtMs }) => sentAtMs >= this.troubleFromMs && sentAtMs <= untilMs,
    );
    const wellFromMs = this.troubleFromMs + (wellAfterMs ?? Infinity);
    const well = troubled.flatMap(({ arrivals }) =>
      arrivals.filter(({ atMs }) => atMs >= wellFromMs && atMs <= untilMs),
    );
    return {
      limitWorst: Math.max(0, ...troubled.map((each) => worstOfLimit(each, wellFromMs))),
      limitAllowed: (LIMIT_WINDOW_MS / MS_PER_S) * limitPerS * LIMIT_OVER + LIMIT_SLACK,
      limitUsed:
        Math.min(...troubled.map((each) => useOf(each, Math.min(untilMs, wellFromMs)))) / limitPerS,
      lateToLeaving: troubled.reduce((sum, each) => sum + lateTo(each), 0),
      restWorst: Math.max(0, ...troubled.map(worstOfRests)),
      served: all.filter(({ status }) => status === 200).length / all.length,
      wellPerS: (well.length / (untilMs - wellFromMs)) * MS_PER_S,
      folder: this.processes.folder,
    };
  }
}

/** Most arrivals in a window at a back end with a limit, of gateways that it had told. */
function worstOfLimit(troubled: TroubledBackend, untilMs: number): number {
  const bindsFromMs = troubled.firstSaidAtMs + LIMIT_BINDS_MS;
  const counted = troubled.arrivals
    .filter((arrival) => arrival.atMs >= bindsFromMs && arrival.atMs < untilMs)
    .filter((arrival) => troubled.wasTold(arrival, HEED_MS))
    .map(({ atMs }) => atMs);
  return counted.reduce((worst, fromMs) => {
    const within = counted.filter((atMs) => atMs >= fromMs && atMs <= fromMs + LIMIT_WINDOW_MS);
    return Math.max(worst, within.length);
  }, 0);
}

/** Arrivals a second once the limit binds. */
function useOf({ arrivals, firstSaidAtMs }: TroubledBackend, untilMs: number): number {
  const fromMs = firstSaidAtMs + LIMIT_BINDS_MS;
  const counted = arrivals.filter(({ atMs }) => atMs >= fromMs && atMs <= untilMs);
  return (counted.length / (untilMs - fromMs)) * MS_PER_S;
}

function lateTo(troubled: TroubledBackend): number {
  return troubled.arrivals.filter(
    ({ gateway, sentAtMs }) =>
      sentAtMs > (troubled.toldAtMs.get(gateway) ?? Infinity) + LEAVING_HEED_MS,
  ).length;
}

function worstOfRests({ restsAsked, arrivals }: TroubledBackend): number {
  return restsAsked.reduce((worst, rest) => {
    const within = arrivals.filter(
      ({ gateway, atMs }) =>
        gateway === rest.gateway &&
        atMs > rest.atMs + HEED_MS &&
        atMs < rest.atMs + REST_S * MS_PER_S,
    );
    return Math.max(worst, within.length);
  }, 0);
}

function backendHost(index: number): string {
  return `127.0.6.${10 + index}`;
}

function delay(timeMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, timeMs));
}
