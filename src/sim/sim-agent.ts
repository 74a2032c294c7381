/** A simulated agent process: the `AgentCore` that the daemon runs, on simulated I/O. */
import { AgentCore } from '../agent/agent-core.js';
import type { AgentEffect, AgentEvent } from '../agent/agent-events.js';
import type { AgentOptions } from '../options.js';
import { PROTOCOL_VERSION } from '../protocol/messages.js';
import type { Frame, HelloMessage, Message } from '../protocol/messages.js';
import { checkHello } from '../protocol/hello.js';
import type { SimBackend } from './sim-backend.js';
import type { ConnectionHandlers, SimConnection } from './sim-network.js';
import { SimDaemon } from './sim-daemon.js';
import type { SimDaemonContext } from './sim-daemon.js';

interface OpenConnection {
  readonly connection: SimConnection;
  readonly number: number;
}

/** Runs an `AgentCore` on the simulated network, clock and backend. */
export class SimAgent extends SimDaemon {
  core!: AgentCore;
  private readonly connections = new Map<string, OpenConnection>();

  constructor(
    context: SimDaemonContext,
    private readonly options: AgentOptions,
    readonly backend: SimBackend,
  ) {
    super(context);
  }

  /** Accepts a connection from an entry. */
  accept(connection: SimConnection): ConnectionHandlers | undefined {
    let hello: HelloMessage | undefined;
    return {
      onFrame: (frame) => {
        if (hello === undefined) {
          hello = this.handleHello(connection, frame);
          return;
        }
        const { incarnation: peer, connectionNumber } = hello;
        this.handle({ kind: 'frame', peer, connectionNumber, frame });
      },
      onClose: () => {
        if (hello !== undefined) {
          this.handleConnectionClosed(connection, hello);
        }
      },
    };
  }

  /** Starts a graceful shutdown, as SIGTERM does. */
  shutDown(): void {
    this.deliver(this.startCount, () => this.handle({ kind: 'leave' }));
  }

  protected override createCore(): void {
    this.core = new AgentCore({ identity: this.identity, options: this.options });
    this.context.hooks.onAgentCore?.(this.core);
    this.connections.clear();
  }

  protected override get replica() {
    return this.core.state.replica;
  }

  protected override onFleetChange(): void {
    const self = this.fleet.find((machine) => machine.name === this.machine.name);
    this.handle({ kind: 'fleet', ownState: self?.state });
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
    this.backend.handleAgentExit();
  }

  private handle(event: AgentEvent): void {
    if (!this.isAlive) {
      return;
    }
    const effects = this.core.handle(event, this.clock.now());
    const performedEffects =
      this.context.hooks.transformAgentEffects?.(effects, this.core) ?? effects;
    this.recordGeneration();
    const outbox = new Map<string, Message[]>();
    for (const effect of performedEffects) {
      this.applyEffect(effect, outbox);
    }
    for (const [peer, messages] of outbox) {
      this.connections.get(peer)?.connection.send(this, this.replica.generation, messages);
    }
  }

  private applyEffect(effect: AgentEffect, outbox: Map<string, Message[]>): void {
    const startCount = this.startCount;
    switch (effect.kind) {
      case 'send':
        outbox.set(effect.peer, [...(outbox.get(effect.peer) ?? []), effect.message]);
        break;
      case 'disconnect':
        this.closeConnection(effect.peer, effect.connectionNumber);
        break;
      case 'engine-start':
        this.backend.start(effect.request, this.replica.generation, (event) =>
          this.deliver(startCount, () => this.handle(event)),
        );
        break;
      case 'engine-pause':
        this.backend.pause(effect.id);
        break;
      case 'engine-resume':
        this.backend.resume(effect.id);
        break;
      case 'engine-cancel':
        this.backend.cancel(effect.id);
        break;
      case 'left':
        this.kill();
        break;
      default:
        this.context.hooks.onAgentEffect?.(effect, this.machine.name);
    }
  }

  private handleHello(connection: SimConnection, frame: Frame): HelloMessage | undefined {
    const checked = checkHello(frame, 'entry');
    if (!checked.ok) {
      connection.closeFrom(this);
      return undefined;
    }
    const hello = checked.val;
    const { incarnation: peer, connectionNumber } = hello;
    this.connections.get(peer)?.connection.closeFrom(this);
    this.connections.set(peer, { connection, number: connectionNumber });
    const { name, incarnation, zone } = this.identity;
    const reply: Message = {
      kind: 'hello',
      version: PROTOCOL_VERSION,
      role: 'agent',
      name,
      incarnation,
      zone,
      connectionNumber,
    };
    connection.send(this, this.replica.generation, [reply]);
    this.handle({ kind: 'peer-connected', hello });
    this.handle({ kind: 'frame', peer, connectionNumber, frame });
    return hello;
  }

  private closeConnection(peer: string, number: number): void {
    const open = this.connections.get(peer);
    if (open?.number === number) {
      this.connections.delete(peer);
      open.connection.closeFrom(this);
    }
  }

  private handleConnectionClosed(connection: SimConnection, hello: HelloMessage): void {
    const { incarnation: peer, connectionNumber } = hello;
    if (this.connections.get(peer)?.connection === connection) {
      this.connections.delete(peer);
    }
    this.handle({ kind: 'peer-disconnected', peer, connectionNumber });
  }
}
