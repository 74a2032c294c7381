/**
 * Simulates gateways and an agent around one cold engine on a virtual clock, over connections that
 * can be slow, stall and break.
 */
import { BackendDirectory } from '../../src/gateway/dispatch/backend-directory.js';
import { coldStartShare } from '../../src/gateway/dispatch/cold-start-share.js';
import { ColdStartLimiter } from '../../src/gateway/dispatch/cold-start-limiter.js';
import { Dispatcher } from '../../src/gateway/dispatch/dispatcher.js';
import type { DispatchRequest } from '../../src/gateway/dispatch/dispatch-request.js';
import { randomInteger, SeededRandom } from '../../src/random.js';
import { coldStartBound } from '../../src/routing/cold-start.js';
import { VirtualClock } from '../../src/sim/virtual-clock.js';
import { EngineColdStart } from '../../src/slot-agent/engine-cold-start.js';
import { SlotAllocator } from '../../src/slot-agent/slot-allocator.js';
import type { AgentSlotMessage, GatewaySlotMessage } from '../../src/slot-agent/slot-messages.js';
import { backendOf } from './gateway-harness.js';

/** Faults injected into the limiter, which the check must detect. */
export interface ColdFleetFault {
  /** Gateways take free slots of an engine that they consider cold. */
  readonly takesSlotsUngranted?: boolean;
  /** Gateways use grants of any age. */
  readonly usesStaleGrants?: boolean;
  /** Each gateway without a connection uses the shares of all of them. */
  readonly ignoresPeers?: boolean;
}

const SERVICE = { coldStartMs: 30_000, coldRequestsPerS: 14, isEngine: true };
const LIMITS = { coldOver: 1.5, coldSlack: 5 };
const ENGINE = backendOf('e', { slots: 60, remainingColdMs: 20_000 });
const TICK_MS = 100;
const SILENCE_MS = 1_000;
/** Limits on the number of requests sent to the engine within any one second. */
export const COLD_BOUND = coldStartBound(SERVICE, LIMITS)!;

/**
 * A connection. Each direction preserves the message order, and messages in flight when it is
 * closed still arrive.
 */
class Link {
  isOpen = true;
  heardAtMs: number;
  private readonly lastArrivalMs = { agent: 0, gateway: 0 };
  private stalledUntilMs = 0;

  constructor(
    readonly number: number,
    readonly gateway: FleetGateway,
    private readonly fleet: ColdFleet,
  ) {
    this.heardAtMs = fleet.clock.now();
  }

  /** Delays messages in both directions until the stall ends. */
  stall(durationMs: number): void {
    this.stalledUntilMs = this.fleet.clock.now() + durationMs;
  }

  deliver(to: 'agent' | 'gateway', action: () => void): void {
    const { clock, random } = this.fleet;
    const nowMs = clock.now();
    const atMs = Math.max(
      this.lastArrivalMs[to],
      this.stalledUntilMs,
      nowMs + randomInteger(random, 1, 12),
      to === 'gateway' ? this.gateway.stalledUntilMs : 0,
    );
    this.lastArrivalMs[to] = atMs;
    clock.setTimeout(action, atMs - nowMs);
  }
}

class FleetGateway {
  link: Link | undefined;
  stalledUntilMs = 0;
  isStopped = false;
  private readonly directory: BackendDirectory;
  private readonly dispatcher: Dispatcher;
  private lastSentToAgentAtMs = 0;

  constructor(
    readonly name: string,
    readonly others: ReadonlySet<string>,
    private readonly startedAtMs: number,
    private readonly fleet: ColdFleet,
    hasRecord: boolean,
  ) {
    const { clock } = fleet;
    const operatorRules = {
      versionUse: () => 'open' as const,
      isEvacuated: () => false,
      regionOf: () => undefined,
    };
    this.directory = new BackendDirectory(
      { name, zone: 'z' },
      { isEngine: () => true, ...operatorRules },
    );
    this.dispatcher = new Dispatcher(this.directory, {
      sendToAgent: (_id, message) => this.send(message),
      onEjected: () => undefined,
      onAvailability: () => undefined,
      ...operatorRules,
      onRestricted: () => undefined,
      onSent: () => undefined,
      isEngine: () => true,
      countGateways: () => 1,
      tokensPerEvent: () => 1,
      coldStarts: this.createLimiter(),
    });
    const backend = hasRecord ? ENGINE : { ...ENGINE, remainingColdMs: 0 };
    this.dispatcher.updateBackend('e', backend, clock.now());
    this.directory.find('e')!.endAgentWait();
  }

  /** Starts the periodic ticks and the load. */
  start(): void {
    this.tick();
    this.generateLoad();
  }

  /** Whether this gateway considers the engine cold, by itself or by the agent's word. */
  get isEngineCold(): boolean {
    return this.dispatcher.isCold('e', this.fleet.clock.now());
  }

  connect(): void {
    if (this.link !== undefined || this.isStopped) {
      return;
    }
    const link = this.fleet.openLink(this);
    this.link = link;
    const { outstanding: held } = this.directory.find('e')!;
    const { coldStartMs, coldRequestsPerS } = SERVICE;
    const coldStart = { coldStartMs, coldRequestsPerS };
    const hello = { kind: 'hello', gateway: this.name, peersAddress: '', held } as const;
    this.send({ ...hello, slots: ENGINE.slots, coldStart });
    this.dispatcher.connectAgent('e', this.fleet.clock.now());
  }

  disconnect(): void {
    const { link } = this;
    if (link !== undefined) {
      this.link = undefined;
      this.fleet.closeFromGateway(link);
    }
    if (link !== undefined && !this.isStopped) {
      this.dispatcher.disconnectAgent('e', this.fleet.clock.now());
    }
  }

  receive(link: Link, message: AgentSlotMessage): void {
    if (link === this.link && !this.isStopped) {
      link.heardAtMs = this.fleet.clock.now();
      this.dispatcher.receiveFromAgent('e', message, link.heardAtMs);
    }
  }

  private createLimiter(): ColdStartLimiter {
    const { fault } = this.fleet;
    const limiter = new ColdStartLimiter({
      startLimitOf: () => COLD_BOUND,
      returnedAtMs: () => undefined,
      share: (id, total, nowMs) => (fault.ignoresPeers ? total : this.share(id, total, nowMs)),
      onStartDelayed: () => undefined,
      onChange: () => undefined,
    });
    if (fault.takesSlotsUngranted) {
      limiter.mayStart = () => this.link !== undefined;
    }
    if (fault.usesStaleGrants) {
      limiter.isStaleGrant = () => false;
    }
    return limiter;
  }

  private share(backendId: string, total: number, nowMs: number): number {
    const { name: self, others, startedAtMs } = this;
    return coldStartShare(
      { self, others, startedAtMs, hasReachedPeers: true },
      backendId,
      total,
      nowMs,
    );
  }

  private send(message: GatewaySlotMessage): void {
    const { link } = this;
    if (link !== undefined) {
      this.lastSentToAgentAtMs = this.fleet.clock.now();
      link.deliver('agent', () => this.fleet.receive(link, message));
    }
  }

  /** Runs one tick of the gateway; a stalled process does nothing. */
  private tick(): void {
    const { clock } = this.fleet;
    const nowMs = clock.now();
    if (this.isStopped) {
      return;
    }
    if (nowMs >= this.stalledUntilMs) {
      this.dispatcher.tick(nowMs);
      if (this.link !== undefined && nowMs - this.link.heardAtMs > SILENCE_MS) {
        this.disconnect();
      }
      if (nowMs - this.lastSentToAgentAtMs >= 150) {
        this.send({ kind: 'alive', atMs: nowMs });
      }
    }
    clock.setTimeout(() => this.tick(), TICK_MS);
  }

  /** Submits requests at a higher rate than the engine may get. */
  private generateLoad(): void {
    const { clock, random } = this.fleet;
    const nowMs = clock.now();
    if (this.isStopped) {
      return;
    }
    if (nowMs >= this.stalledUntilMs) {
      const request = this.requestAt(nowMs);
      this.dispatcher.submit(request, nowMs);
      clock.setTimeout(() => this.dispatcher.withdraw(request, clock.now()), 300);
    }
    clock.setTimeout(() => this.generateLoad(), randomInteger(random, 20, 400));
  }

  private requestAt(nowMs: number): DispatchRequest {
    return {
      service: 's',
      allowedRegions: undefined,
      requiredVersion: undefined,
      tier: 0,
      rankInTier: 0,
      arrivedAtMs: nowMs,
      startByMs: nowMs + 5_000,
      units: 1,
      promptTokens: 0,
      firstDueAtMs: nowMs + 5_000,
      maxPauseMs: 0,
      isRepeatable: true,
      excluded: new Set(),
      onPlaced: () => this.noteStart(),
    };
  }

  private noteStart(): void {
    const { clock, random, starts } = this.fleet;
    if (this.isStopped) {
      return;
    }
    starts.push({ atMs: clock.now(), isLinked: this.link !== undefined });
    clock.setTimeout(
      () => this.dispatcher.finish('e', 'answered', clock.now()),
      randomInteger(random, 20, 300),
    );
  }
}

/** A simulated fleet. */
export class ColdFleet {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  /**
   * When each request was sent to the engine, in milliseconds, and whether by a gateway connected
   * to the agent.
   */
  readonly starts: Array<{ readonly atMs: number; readonly isLinked: boolean }> = [];
  private readonly gateways: FleetGateway[] = [];
  private readonly names: readonly string[];
  private readonly links = new Map<number, Link>();
  private allocator!: SlotAllocator;
  private coldStart!: EngineColdStart;
  private nextLink = 1;

  /** @param hasFaults - whether connections and processes fail at random */
  constructor(
    seed: number,
    readonly fault: ColdFleetFault = {},
    hasFaults = true,
  ) {
    this.random = new SeededRandom(seed);
    const { random } = this;
    const size = randomInteger(random, 1, 14);
    this.names = Array.from({ length: size }, (_none, index) => `g${index}`);
    this.startAgent();
    this.names.forEach((name, index) => (this.gateways[index] = this.create(name, -10_000)));
    this.schedulePeriodically(300, () => this.allocator.sendHeartbeat(300, this.clock.now()));
    this.schedulePeriodically(50, () => this.closeTimedOut());
    if (hasFaults) {
      this.schedulePeriodically(250, () => this.injectFault());
    }
  }

  /** Whether the agent considers the engine cold. */
  get isColdForAgent(): boolean {
    return this.coldStart.coldState(this.clock.now()) !== undefined;
  }

  /** Restarts a gateway, which reads the engine's record again and connects to the agent. */
  restartGateway(index: number): FleetGateway {
    const previous = this.gateways[index]!;
    previous.isStopped = true;
    previous.disconnect();
    const { name, others } = previous;
    const restarted = new FleetGateway(name, others, this.clock.now(), this, true);
    this.gateways[index] = restarted;
    restarted.connect();
    restarted.start();
    return restarted;
  }

  openLink(gateway: FleetGateway): Link {
    const link = new Link(this.nextLink, gateway, this);
    this.nextLink += 1;
    this.links.set(link.number, link);
    return link;
  }

  receive(link: Link, message: GatewaySlotMessage): void {
    if (!this.links.has(link.number)) {
      return;
    }
    const nowMs = this.clock.now();
    if (message.kind === 'hello') {
      this.coldStart.applyHello(message.coldStart);
    } else if (message.kind === 'demand') {
      this.coldStart.applyDemand(message, nowMs);
    }
    this.allocator.receive(link.number, message, nowMs);
  }

  closeFromGateway(link: Link): void {
    link.deliver('agent', () => this.removeLink(link));
  }

  /** Returns the maximum number of requests sent within any one second. */
  get peakStarts(): { readonly all: number; readonly linked: number; readonly unlinked: number } {
    const peakOf = (kind: (isLinked: boolean) => boolean) =>
      peakPerSecondOf(this.starts.filter(({ isLinked }) => kind(isLinked)).map(({ atMs }) => atMs));
    return {
      all: peakOf(() => true),
      linked: peakOf((isLinked) => isLinked),
      unlinked: peakOf((isLinked) => !isLinked),
    };
  }

  private removeLink(link: Link): void {
    if (this.links.delete(link.number)) {
      this.allocator.disconnect(link.number, this.clock.now());
    }
  }

  private startAgent(): void {
    const { clock } = this;
    this.coldStart = new EngineColdStart(
      () => ({ service: undefined, backend: undefined, zoneReturnedAtMs: undefined }),
      LIMITS,
      clock.now(),
    );
    const { coldStart } = this;
    const allocator: SlotAllocator = new SlotAllocator(
      {
        send: (connection, message) => this.send(connection, message),
        onGranted: () => undefined,
        onChangesPending: () => clock.setTimeout(() => allocator.sendChanges(clock.now()), 250),
        onReconciled: () => undefined,
        onProbeNeeded: () => undefined,
        onAvailability: () => undefined,
        restriction: () => undefined,
        regionInfo: () => undefined,
        onForbiddenTake: () => undefined,
        startRules: (nowMs) => coldStart.startRules(nowMs),
        onStartsDelayed: (inMs) => {
          if (Number.isFinite(inMs)) {
            clock.setTimeout(() => allocator.resumeGrants(clock.now()), inMs);
          }
        },
      },
      undefined,
      clock.now(),
    );
    this.allocator = allocator;
  }

  private send(connection: number, message: AgentSlotMessage): void {
    const link = this.links.get(connection);
    link?.deliver('gateway', () => link.gateway.receive(link, message));
  }

  private closeTimedOut(): void {
    for (const number of this.allocator.findTimedOut(this.clock.now())) {
      this.closeFromAgent(this.links.get(number)!);
    }
  }

  private closeFromAgent(link: Link): void {
    this.removeLink(link);
    link.deliver('gateway', () => link === link.gateway.link && link.gateway.disconnect());
  }

  /**
   * Creates a gateway whose peer view holds all others and some that have ended. A gateway without
   * the record of the cold engine first learns from the agent that it is cold.
   */
  private create(name: string, startedAtMs: number): FleetGateway {
    const ended = Array.from({ length: randomInteger(this.random, 0, 4) }, (_none, i) => `x${i}`);
    const others = new Set([...this.names.filter((other) => other !== name), ...ended]);
    const isLinked = this.random.next() < 0.6;
    const hasRecord = !isLinked || this.random.next() < 0.7;
    const gateway = new FleetGateway(name, others, startedAtMs, this, hasRecord);
    if (isLinked) {
      gateway.connect();
    }
    gateway.start();
    return gateway;
  }

  /** Injects or repairs one random fault. */
  private injectFault(): void {
    const { random, clock } = this;
    const index = randomInteger(random, 0, this.names.length - 1);
    const gateway = this.gateways[index]!;
    const durationMs = randomInteger(random, 100, 2_500);
    switch (randomInteger(random, 0, 6)) {
      case 0:
        gateway.link?.stall(durationMs);
        break;
      case 1:
        gateway.stalledUntilMs = clock.now() + durationMs;
        break;
      case 2:
        gateway.disconnect();
        break;
      case 3:
        gateway.isStopped = true;
        gateway.disconnect();
        this.gateways[index] = this.create(gateway.name, clock.now());
        break;
      case 4:
        if (random.next() < 0.3) {
          this.restartAgent();
        }
        break;
      default:
        this.gateways.forEach((one) => one.connect());
    }
  }

  private restartAgent(): void {
    for (const link of [...this.links.values()]) {
      this.closeFromAgent(link);
    }
    this.startAgent();
  }

  private schedulePeriodically(periodMs: number, action: () => void): void {
    this.clock.setTimeout(() => {
      action();
      this.schedulePeriodically(periodMs, action);
    }, periodMs);
  }
}

function peakPerSecondOf(timesMs: readonly number[]): number {
  let from = 0;
  let peak = 0;
  timesMs.forEach((atMs, index) => {
    while (timesMs[from]! < atMs - 1_000) {
      from += 1;
    }
    peak = Math.max(peak, index - from + 1);
  });
  return peak;
}
