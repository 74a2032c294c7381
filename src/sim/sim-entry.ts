/** A simulated entry process: the `EntryCore` that the daemon runs, on simulated I/O. */
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
import type { SimDaemonContext } from './sim-daemon.js';
import { SimConnection } from './sim-network.js';

/** Callbacks to the caller of one request. */
export interface CallerCallbacks {
  /** Called when the entry has received the request and assigned this identifier. */
  onReceived(id: string): void;
  onChunk(data: string): void;
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

/** Runs an `EntryCore` on the simulated network and clock. */
export class SimEntry extends SimDaemon {
  core!: EntryCore;
  isLeaving = false;
  private ids!: RequestIdGenerator;
  private claims!: ClaimStore;
  private readonly connections = new Map<string, OpenConnection>();
  private readonly callers = new Map<string, CallerCallbacks>();

  constructor(
    context: SimDaemonContext,
    private readonly options: EntryOptions,
    private readonly agents: ReadonlyMap<string, SimAgent>,
  ) {
    super(context);
  }

  /** Assigns an identifier to a request from a caller and passes the request to the core. */
  receive(request: Omit<IncomingRequest, 'id'>, caller: CallerCallbacks): void {
    const id = this.ids.next();
    this.callers.set(id, caller);
    caller.onReceived(id);
    this.handle({ kind: 'request-arrived', request: { ...request, id } });
  }

  /** Handles the disconnect of a caller. */
  handleCallerDisconnect(id: string): void {
    if (this.callers.delete(id)) {
      this.handle({ kind: 'caller-gone', id });
    }
  }

  /** Starts a graceful shutdown, as SIGTERM does. */
  shutDown(): void {
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
    this.context.hooks.onEntryCore?.(this.core);
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
    const performedEffects =
      this.context.hooks.transformEntryEffects?.(effects, this.core) ?? effects;
    this.recordGeneration();
    const outbox = new Map<string, Message[]>();
    for (const effect of performedEffects) {
      this.applyEffect(effect, outbox);
    }
    for (const [peer, messages] of outbox) {
      this.connections.get(peer)?.connection.send(this, this.replica.generation, messages);
    }
  }

  private applyEffect(effect: EntryEffect, outbox: Map<string, Message[]>): void {
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
        this.callers.get(effect.id)?.onChunk(String(effect.data));
        break;
      case 'answer-end':
        this.removeCaller(effect.id)?.onEnd();
        break;
      case 'refuse':
        this.removeCaller(effect.id)?.onRefused(effect.refusal);
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
    this.context.hooks.onEntryEffect?.(effect, this.machine.name);
  }

  private removeCaller(id: string): CallerCallbacks | undefined {
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
    let isHelloReceived = false;
    const connection = new SimConnection(this.context.network, this, agent, {
      onFrame: (frame) => {
        if (!isHelloReceived) {
          const hello = checkHello(frame, 'agent', peer);
          if (!hello.ok) {
            connection.closeFrom(this);
            return;
          }
          isHelloReceived = true;
          this.handle({ kind: 'peer-connected', peer, connectionNumber, hello: hello.val });
        }
        this.handle({ kind: 'frame', peer, connectionNumber, frame });
      },
      onClose: () => this.handleConnectionClosed(peer, connectionNumber, connection),
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
          if (!isHelloReceived) {
            connection.closeFrom(this);
            this.handleConnectionClosed(peer, connectionNumber, connection);
          }
        }),
      CONNECT_TIMEOUT_MS,
    );
  }

  private handleConnectionClosed(
    peer: string,
    connectionNumber: number,
    connection: SimConnection,
  ): void {
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
