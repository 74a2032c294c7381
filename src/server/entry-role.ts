/**
 * Runs an `EntryCore` with its I/O: callers over HTTP, agents over TCP, idempotency-key claims in
 * the key-value service.
 */
import { connect } from 'node:net';
import { SYSTEM_CLOCK } from '../clock.js';
import { ClaimStore } from '../entry/claim-store.js';
import { EntryCore } from '../entry/entry-core.js';
import type { EntryEffect, EntryEvent } from '../entry/entry-events.js';
import { countWaiting } from '../entry/entry-state.js';
import type { Machine } from '../membership/machine.js';
import type { PolicyReplica, PolicyUpdate } from '../policy/replica.js';
import { checkHello } from '../protocol/hello.js';
import { PROTOCOL_VERSION } from '../protocol/messages.js';
import type { Frame } from '../protocol/messages.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { CallerServer } from './caller-server.js';
import type { DaemonContext, DaemonPorts, DaemonRole } from './daemon.js';
import { ConnectionTable, FrameConnection } from './frame-connection.js';
import { listen } from './listen.js';
import type { ListenError } from './listen.js';

type ConnectEffect = Extract<EntryEffect, { kind: 'connect' }>;

/** Performs the effects of an `EntryCore` and passes caller and network events to it. */
export class EntryRole implements DaemonRole {
  private readonly core: EntryCore;
  private readonly callers: CallerServer;
  private readonly claims: ClaimStore;
  private readonly connections = new ConnectionTable();
  private onDrained: (() => void) | undefined;

  constructor(private readonly context: DaemonContext) {
    const { settings, identity, random, keyValue } = context;
    this.core = new EntryCore({ identity, random, options: settings.entry });
    this.claims = new ClaimStore(keyValue);
    this.callers = new CallerServer(settings, identity.incarnation, this.replica, {
      onRequest: (request) => this.handle({ kind: 'request-arrived', request }),
      onCallerDisconnected: (id) => this.handle({ kind: 'caller-gone', id }),
    });
  }

  get replica(): PolicyReplica {
    return this.core.state.replica;
  }

  async listen(): Promise<Result<Omit<DaemonPorts, 'operators'>, ListenError>> {
    const { address, callersPort } = this.context.settings.listen;
    const port = await listen(this.callers.server, address, callersPort);
    return port.ok ? ok({ callers: port.val, protocol: undefined }) : err(port.val);
  }

  onFleet(machines: readonly Machine[]): void {
    this.handle({ kind: 'fleet', machines });
  }

  onPolicy(update: PolicyUpdate): void {
    this.handle({ kind: 'policy', update });
  }

  onTick(): void {
    this.handle({ kind: 'tick' });
  }

  drain(onDrained: () => void): void {
    this.onDrained = onDrained;
    this.callers.server.close();
    this.handle({ kind: 'leave' });
  }

  isReady(): boolean {
    const { state } = this.core;
    const isConnected = [...state.peers.values()].some((peer) => peer.connectivity === 'connected');
    return state.replica.generation > 0 && isConnected && !state.isLeaving;
  }

  status(): object {
    const { state } = this.core;
    return {
      waiting: countWaiting(state),
      held: state.requests.size,
      leaving: state.isLeaving,
      agents: [...state.peers].map(([name, peer]) => ({
        name,
        connectivity: peer.connectivity,
        leaving: peer.isLeaving,
        bound: peer.bound.size,
        bids: peer.bids.size,
        load: peer.load,
      })),
    };
  }

  close(): void {
    this.callers.server.close();
    this.callers.server.closeAllConnections();
    this.connections.closeAll();
  }

  private handle(event: EntryEvent): void {
    for (const effect of this.core.handle(event, SYSTEM_CLOCK.now())) {
      this.performEffect(effect);
    }
  }

  private performEffect(effect: EntryEffect): void {
    const { telemetry } = this.context;
    switch (effect.kind) {
      case 'send':
        this.connections.send(effect.peer, effect.message);
        break;
      case 'connect':
        this.connectToAgent(effect);
        break;
      case 'disconnect':
        this.connections.close(effect.peer, effect.connectionNumber);
        break;
      case 'answer-start':
        this.callers.startResponse(effect.id, effect.status, effect.contentType);
        break;
      case 'answer-chunk':
        this.callers.writeResponse(effect.id, effect.data);
        break;
      case 'answer-end':
        this.callers.endResponse(effect.id, effect.usage);
        break;
      case 'refuse':
        this.callers.refuse(effect.id, effect.refusal);
        break;
      case 'claim':
        void this.claimIdempotencyKey(effect);
        break;
      case 'release-claim':
        void this.claims.release(effect.tenant, effect.key, effect.id);
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

  private async claimIdempotencyKey(
    effect: Extract<EntryEffect, { id: string; key: string }>,
  ): Promise<void> {
    const { id, tenant, key } = effect;
    const outcome = await this.claims.claim(tenant, key, id);
    if (outcome === 'claimed' && !this.core.state.requests.has(id)) {
      // The caller disconnected during the claim. Nothing was started, so the key is released.
      await this.claims.release(tenant, key, id);
      return;
    }
    this.handle({ kind: 'claim-resolved', id, outcome });
  }

  private connectToAgent(effect: ConnectEffect): void {
    const { peer, address, port, connectionNumber } = effect;
    const { settings, identity, telemetry } = this.context;
    const socket = connect({ host: address, port });
    let isHandshakeDone = false;
    const handshakeTimer = setTimeout(() => {
      if (!isHandshakeDone) {
        connection.close();
      }
    }, settings.listen.connectTimeoutMs);
    const connection = new FrameConnection(
      socket,
      {
        onFrame: (frame) => {
          if (isHandshakeDone) {
            this.handle({ kind: 'frame', peer, connectionNumber, frame });
            return;
          }
          isHandshakeDone = this.completeHandshake(peer, connectionNumber, connection, frame);
        },
        onClose: (error) => {
          clearTimeout(handshakeTimer);
          if (error !== undefined) {
            telemetry.log.warn(
              { peer, code: error.code, detail: error.message },
              'connection ended',
            );
          }
          this.connections.remove(peer, connection);
          this.handle({ kind: 'peer-disconnected', peer, connectionNumber });
        },
      },
      () => this.replica.generation,
      settings.listen.maxFrameBytes,
    );
    this.connections.put(peer, connection, connectionNumber);
    const { name, incarnation, zone } = identity;
    connection.send({
      kind: 'hello',
      version: PROTOCOL_VERSION,
      role: 'entry',
      name,
      incarnation,
      zone,
      connectionNumber,
    });
  }

  private completeHandshake(
    peer: string,
    connectionNumber: number,
    connection: FrameConnection,
    frame: Frame,
  ): boolean {
    const hello = checkHello(frame, 'agent', peer);
    if (!hello.ok) {
      connection.close(hello.val);
      return false;
    }
    this.handle({ kind: 'peer-connected', peer, connectionNumber, hello: hello.val });
    this.handle({ kind: 'frame', peer, connectionNumber, frame });
    return true;
  }
}
