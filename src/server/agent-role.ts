/** The agent role with its I/O: entries over TCP, the back end over HTTP. */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { AgentCore } from '../agent/agent-core.js';
import type { AgentEffect, AgentEvent } from '../agent/agent-events.js';
import { describeLoad } from '../agent/queries/engine-load.js';
import { SYSTEM_CLOCK } from '../clock.js';
import type { PolicyReplica, PolicyUpdate } from '../policy/replica.js';
import { checkHello } from '../protocol/hello.js';
import { PROTOCOL_VERSION } from '../protocol/messages.js';
import type { Frame, HelloMessage } from '../protocol/messages.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import type { Machine } from '../membership/machine.js';
import type { DaemonContext, DaemonPorts, DaemonRole } from './daemon.js';
import { ConnectionTable, FrameConnection } from './frame-connection.js';
import { HttpBackend } from './http-backend.js';
import { listen } from './listen.js';
import type { ListenError } from './listen.js';

/** The agent role with its I/O. */
export class AgentRole implements DaemonRole {
  private readonly core: AgentCore;
  private readonly backend: HttpBackend;
  private readonly server: Server;
  private readonly connections = new ConnectionTable();
  private onLeft: (() => void) | undefined;

  constructor(private readonly context: DaemonContext) {
    const { settings, identity } = context;
    this.core = new AgentCore({ identity, options: settings.agent });
    this.backend = new HttpBackend(
      settings.agent.backendUrl,
      settings.agent.backendKind,
      SYSTEM_CLOCK,
      (event) => this.handle(event),
    );
    this.server = createServer((socket) => this.accept(socket));
    this.server.maxConnections = settings.listen.maxConnections;
  }

  get replica(): PolicyReplica {
    return this.core.state.replica;
  }

  async listen(): Promise<Result<Omit<DaemonPorts, 'operators'>, ListenError>> {
    const { address, protocolPort } = this.context.settings.listen;
    const port = await listen(this.server, address, protocolPort);
    return port.ok ? ok({ protocol: port.val, callers: undefined }) : err(port.val);
  }

  onFleet(machines: readonly Machine[]): void {
    const { name } = this.context.identity;
    const self = machines.find((machine) => machine.name === name);
    this.handle({ kind: 'fleet', ownState: self?.state });
  }

  onPolicy(update: PolicyUpdate): void {
    this.handle({ kind: 'policy', update });
  }

  onTick(): void {
    this.handle({ kind: 'tick' });
  }

  leave(onLeft: () => void): void {
    this.onLeft = onLeft;
    this.handle({ kind: 'leave' });
  }

  isReady(): boolean {
    return this.core.state.replica.generation > 0 && !this.core.state.isLeaving;
  }

  status(): object {
    const { state } = this.core;
    return {
      leaving: state.isLeaving,
      entries: [...state.peers.values()].map((peer) => peer.name),
      load: describeLoad(state),
    };
  }

  close(): void {
    this.server.close();
    this.connections.closeAll();
    this.backend.close();
  }

  private handle(event: AgentEvent): void {
    for (const effect of this.core.handle(event, SYSTEM_CLOCK.now())) {
      this.perform(effect);
    }
  }

  private perform(effect: AgentEffect): void {
    const { telemetry } = this.context;
    switch (effect.kind) {
      case 'send':
        this.connections.send(effect.peer, effect.message);
        break;
      case 'disconnect':
        this.connections.close(effect.peer, effect.connectionNumber);
        break;
      case 'engine-start':
        this.backend.start(effect.request);
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
      case 'decision':
        telemetry.decide(effect.decision);
        break;
      case 'measure':
        telemetry.measure(effect.measurement);
        break;
      case 'left':
        this.onLeft?.();
        break;
    }
  }

  private accept(socket: Socket): void {
    const { settings, telemetry } = this.context;
    let hello: HelloMessage | undefined;
    const timer = setTimeout(() => {
      if (hello === undefined) {
        connection.close();
      }
    }, settings.listen.connectTimeoutMs);
    const connection = new FrameConnection(
      socket,
      {
        onFrame: (frame) => {
          if (hello === undefined) {
            hello = this.greet(connection, frame);
            return;
          }
          const { incarnation: peer, connectionNumber } = hello;
          this.handle({ kind: 'frame', peer, connectionNumber, frame });
        },
        onClose: (error) => {
          clearTimeout(timer);
          if (error !== undefined) {
            const { code, message: detail } = error;
            telemetry.log.warn({ peer: hello?.name, code, detail }, 'connection ended');
          }
          if (hello !== undefined) {
            this.forgetConnection(connection, hello);
          }
        },
      },
      () => this.replica.generation,
      settings.listen.maxFrameBytes,
    );
  }

  private greet(connection: FrameConnection, frame: Frame): HelloMessage | undefined {
    const checked = checkHello(frame, 'entry');
    if (!checked.ok) {
      connection.close(checked.val);
      return undefined;
    }
    const hello = checked.val;
    const { name, incarnation, zone } = this.context.identity;
    connection.send({
      kind: 'hello',
      version: PROTOCOL_VERSION,
      role: 'agent',
      name,
      incarnation,
      zone,
      connectionNumber: hello.connectionNumber,
    });
    const { connectionNumber } = hello;
    this.connections.put(hello.incarnation, connection, connectionNumber);
    this.handle({ kind: 'peer-connected', hello });
    this.handle({ kind: 'frame', peer: hello.incarnation, connectionNumber, frame });
    return hello;
  }

  private forgetConnection(connection: FrameConnection, hello: HelloMessage): void {
    const { incarnation: peer, connectionNumber } = hello;
    this.connections.remove(peer, connection);
    this.handle({ kind: 'peer-disconnected', peer, connectionNumber });
  }
}
