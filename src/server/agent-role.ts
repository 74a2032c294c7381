/** Runs an `AgentCore` with its I/O: entries over TCP, the backend over HTTP. */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { AgentCore } from '../agent/agent-core.js';
import type { AgentEffect, AgentEvent } from '../agent/agent-events.js';
import { createLoadMessage } from '../agent/queries/engine-load.js';
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

/** Performs the effects of an `AgentCore` and passes network events to it. */
export class AgentRole implements DaemonRole {
  private readonly core: AgentCore;
  private readonly backend: HttpBackend;
  private readonly server: Server;
  private readonly connections = new ConnectionTable();
  private onDrained: (() => void) | undefined;

  constructor(private readonly context: DaemonContext) {
    const { settings, identity } = context;
    this.core = new AgentCore({ identity, options: settings.agent });
    this.backend = new HttpBackend(
      settings.agent.backendUrl,
      settings.agent.backendKind,
      SYSTEM_CLOCK,
      (event) => this.handle(event),
    );
    this.server = createServer((socket) => this.acceptConnection(socket));
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

  drain(onDrained: () => void): void {
    this.onDrained = onDrained;
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
      load: createLoadMessage(state),
    };
  }

  close(): void {
    this.server.close();
    this.connections.closeAll();
    this.backend.close();
  }

  private handle(event: AgentEvent): void {
    for (const effect of this.core.handle(event, SYSTEM_CLOCK.now())) {
      this.performEffect(effect);
    }
  }

  private performEffect(effect: AgentEffect): void {
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
        telemetry.logDecision(effect.decision);
        break;
      case 'measure':
        telemetry.recordMeasurement(effect.measurement);
        break;
      case 'left':
        this.onDrained?.();
        break;
    }
  }

  private acceptConnection(socket: Socket): void {
    const { settings, telemetry } = this.context;
    let hello: HelloMessage | undefined;
    const handshakeTimer = setTimeout(() => {
      if (hello === undefined) {
        connection.close();
      }
    }, settings.listen.connectTimeoutMs);
    const connection = new FrameConnection(
      socket,
      {
        onFrame: (frame) => {
          if (hello === undefined) {
            hello = this.completeHandshake(connection, frame);
            return;
          }
          const { incarnation: peer, connectionNumber } = hello;
          this.handle({ kind: 'frame', peer, connectionNumber, frame });
        },
        onClose: (error) => {
          clearTimeout(handshakeTimer);
          if (error !== undefined) {
            const { code, message: detail } = error;
            telemetry.log.warn({ peer: hello?.name, code, detail }, 'connection ended');
          }
          if (hello !== undefined) {
            this.removeConnection(connection, hello);
          }
        },
      },
      () => this.replica.generation,
      settings.listen.maxFrameBytes,
    );
  }

  private completeHandshake(connection: FrameConnection, frame: Frame): HelloMessage | undefined {
    const checkResult = checkHello(frame, 'entry');
    if (!checkResult.ok) {
      connection.close(checkResult.val);
      return undefined;
    }
    const hello = checkResult.val;
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

  private removeConnection(connection: FrameConnection, hello: HelloMessage): void {
    const { incarnation: peer, connectionNumber } = hello;
    this.connections.remove(peer, connection);
    this.handle({ kind: 'peer-disconnected', peer, connectionNumber });
  }
}
