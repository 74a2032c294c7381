/** A simulated entry process: the core that the daemon runs, on simulated I/O. */
import { ClaimStore } from '../entry/claim-store.js';
import { EntryCore } from '../entry/entry-core.js';
import type { IncomingRequest, EntryEffect, EntryEvent } from '../entry/entry-events.js';
import type { EntryOptions } from '../options.js';
import { checkHello } from '../protocol/hello.js';
import { PROTOCOL_VERSION } from '../protocol/messages.js';
import type { Message } from '../protocol/messages.js';
import type { Refusal } from '../request/refusal.js';
import { RequestIdGenerator } from '../request/request-id.js';
import type { SimAgent } from './sim-agent.js';
import { SimDaemon } from './sim-daemon.js';
import type { SimDaemonParts } from './sim-daemon.js';
import { SimConnection } from './sim-network.js';

/** The caller's end of one request. */
export interface CallerEnd {
  /** The entry took the request under this identifier. */
  onAccepted(id: string): void;
  onPart(data: string): void;
  onEnd(): void;
  onRefused(refusal: Refusal): void;
  onConnectionLost(): void;
}

type ConnectEffect = Extract<EntryEffect, { kind: 'connect' }>;

interface OpenConnection {
  readonly connection: SimConnection;
  readonly number: number;
}

const CONNECT_TIMEOUT_MS = 3_000;

/** A simulated entry process. */
export class SimEntry extends SimDaemon {
  core!: EntryCore;
  isLeaving = false;
  private ids!: RequestIdGenerator;
  private claims!: ClaimStore;
  private readonly connections = new Map<string, OpenConnection>();
  private readonly callers = new Map<string, CallerEnd>();

  constructor(
    parts: SimDaemonParts,
    private readonly options: EntryOptions,
    private readonly agents: ReadonlyMap<string, SimAgent>,
  ) {
    super(parts);
  }

  /** Takes a request from a caller. */
  receive(request: Omit<IncomingRequest, 'id'>, caller: CallerEnd): void {
    const id = this.ids.next();
    this.callers.set(id, caller);
    caller.onAccepted(id);
    this.handle({ kind: 'request-arrived', request: { ...request, id } });
  }

  /** A caller hung up. */
  loseCaller(id: string): void {
    if (this.callers.delete(id)) {
      this.handle({ kind: 'caller-gone', id });
    }
  }

  /** Tells the process to leave, as SIGTERM does. */
  leave(): void {
    this.deliver(this.startCount, () => {
      this.isLeaving = true;
      this.handle({ kind: 'leave' });
    });
  }

  protected override createCore(): void {
    this.isLeaving = false;
    this.ids = new RequestIdGenerator(this.incarnation);
    this.claims = new ClaimStore(this.keyValue);
    this.connections.clear();
    this.callers.clear();
    this.core = new EntryCore({
      identity: this.identity,
      options: this.options,
      random: this.random,
    });
    this.parts.hooks.onEntryCore?.(this.core);
  }

  protected override get replica() {
    return this.core.state.replica;
  }

  protected override onFleetChange(): void {
    this.handle({ kind: 'fleet', machines: this.fleet });
  }

  protected override onPolicyRead(update: Parameters<typeof this.replica.install>[0]): void {
    this.handle({ kind: 'policy', update });
  }

  protected override onTick(): void {
    this.handle({ kind: 'tick' });
  }

  protected override onKilled(): void {
    for (const { connection } of this.connections.values()) {
      connection.closeFrom(this);
    }
    this.connections.clear();
    for (const caller of this.callers.values()) {
      caller.onConnectionLost();
    }
    this.callers.clear();
  }

  private handle(event: EntryEvent): void {
    if (!this.isAlive) {
      return;
    }
    const effects = this.core.handle(event, this.clock.now());
    const changed = this.parts.hooks.changeEntryEffects?.(effects, this.core) ?? effects;
    this.noteGeneration();
    const outbox = new Map<string, Message[]>();
    for (const effect of changed) {
      this.perform(effect, outbox);
    }
    for (const [peer, messages] of outbox) {
      this.connections.get(peer)?.connection.send(this, this.replica.generation, messages);
    }
  }

  private perform(effect: EntryEffect, outbox: Map<string, Message[]>): void {
    switch (effect.kind) {
      case 'send':
        outbox.set(effect.peer, [...(outbox.get(effect.peer) ?? []), effect.message]);
        break;
      case 'connect':
        this.connect(effect);
        break;
      case 'disconnect':
        this.closeConnection(effect.peer, effect.connectionNumber);
        break;
      case 'answer-start':
        break;
      case 'answer-chunk':
        this.callers.get(effect.id)?.onPart(String(effect.data));
        break;
      case 'answer-end':
        this.takeCaller(effect.id)?.onEnd();
        break;
      case 'refuse':
        this.takeCaller(effect.id)?.onRefused(effect.refusal);
        break;
      case 'claim':
        void this.claim(effect);
        break;
      case 'release-claim':
        void this.claims.release(effect.tenant, effect.key, effect.id);
        break;
      case 'left':
        this.kill();
        break;
      default:
        break;
    }
    this.parts.hooks.onEntryReport?.(effect, this.machine.name);
  }

  private takeCaller(id: string): CallerEnd | undefined {
    const caller = this.callers.get(id);
    this.callers.delete(id);
    return caller;
  }

  private async claim(effect: Extract<EntryEffect, { id: string; key: string }>): Promise<void> {
    const { id, tenant, key } = effect;
    const outcome = await this.claims.claim(tenant, key, id);
    if (outcome === 'claimed' && !this.core.state.requests.has(id)) {
      await this.claims.release(tenant, key, id);
      return;
    }
    this.handle({ kind: 'claim-resolved', id, outcome });
  }

  private connect(effect: ConnectEffect): void {
    const { peer, connectionNumber } = effect;
    const agent = this.agents.get(peer)!;
    const startCount = this.startCount;
    let isGreeted = false;
    const connection = new SimConnection(this.parts.network, this, agent, {
      onFrame: (frame) => {
        if (!isGreeted) {
          const hello = checkHello(frame, 'agent', peer);
          if (!hello.ok) {
            connection.closeFrom(this);
            return;
          }
          isGreeted = true;
          this.handle({ kind: 'peer-connected', peer, connectionNumber, hello: hello.val });
        }
        this.handle({ kind: 'frame', peer, connectionNumber, frame });
      },
      onClose: () => this.loseConnection(peer, connectionNumber, connection),
    });
    this.connections.set(peer, { connection, number: connectionNumber });
    connection.open((opened) => agent.accept(opened));
    const { name, incarnation, zone } = this.identity;
    const hello: Message = {
      kind: 'hello',
      version: PROTOCOL_VERSION,
      role: 'entry',
      name,
      incarnation,
      zone,
      connectionNumber,
    };
    connection.send(this, this.replica.generation, [hello]);
    this.clock.setTimeout(
      () =>
        this.deliver(startCount, () => {
          if (!isGreeted) {
            connection.closeFrom(this);
            this.loseConnection(peer, connectionNumber, connection);
          }
        }),
      CONNECT_TIMEOUT_MS,
    );
  }

  private loseConnection(peer: string, connectionNumber: number, connection: SimConnection): void {
    if (this.connections.get(peer)?.connection === connection) {
      this.connections.delete(peer);
    }
    this.handle({ kind: 'peer-disconnected', peer, connectionNumber });
  }

  private closeConnection(peer: string, number: number): void {
    const open = this.connections.get(peer);
    if (open?.number === number) {
      this.connections.delete(peer);
      open.connection.closeFrom(this);
    }
  }
}
