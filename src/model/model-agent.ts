/** The agent beside a model engine: the ledger that agents run, with its timers, on the virtual clock. */
import type { Clock } from '../clock.js';
import { DEFAULT_SLOT_AGENT_OPTIONS } from '../slot-agent/slot-agent-role.js';
import type { GatewayTimeoutOptions } from '../slot-agent/gateway-account.js';
import type { EngineProbeResult } from '../slot-agent/engine-watch.js';
import { SlotAllocator } from '../slot-agent/slot-ledger.js';
import type { AgentSlotMessage, GatewaySlotMessage } from '../slot-agent/slot-messages.js';
import type { BatchEngine } from './batch-engine.js';

/** Time of a look at the engine on the same machine, in milliseconds. */
const LOOK_MS = 1;

/** A gateway's end of a connection to an agent. */
export interface AgentPeer {
  /** Takes a message of the agent. */
  receive(message: AgentSlotMessage): void;
  /** The agent ended the connection. */
  close(): void;
}

/** The agent beside one engine. */
export class ModelAgent {
  private readonly peers = new Map<number, AgentPeer>();
  private readonly ledger: SlotAllocator;
  private nextConnection = 1;

  constructor(
    private readonly engine: BatchEngine,
    private readonly clock: Clock,
    /** One way to a gateway, in milliseconds. */
    private readonly linkMs: number,
    gatewaySilence?: GatewayTimeoutOptions,
  ) {
    const {
      fastProbeIntervalMs: reportMs,
      heartbeatIntervalMs: beatMs,
      keepaliveCheckIntervalMs: silenceCheckMs,
      stateBatchDelayMs: tellMs,
    } = DEFAULT_SLOT_AGENT_OPTIONS;
    this.ledger = new SlotAllocator(
      {
        send: (connection, message) => this.send(connection, message),
        onGranted: () => undefined,
        onChangesPending: () =>
          clock.setTimeout(() => this.ledger.sendChanges(clock.now()), tellMs),
        onReconciled: () => undefined,
        onProbeNeeded: () => clock.setTimeout(() => this.lookAtEngine(), LOOK_MS),
        onAvailability: () => undefined,
        restriction: () => undefined,
        regionInfo: () => undefined,
        onForbiddenTake: () => undefined,
        startRules: () => undefined,
        onStartsDelayed: () => undefined,
      },
      gatewaySilence,
    );
    this.repeat(silenceCheckMs, () => this.endSilent());
    this.repeat(reportMs, () => this.lookAtEngine());
    this.repeat(beatMs, () => this.ledger.sendHeartbeat(beatMs, this.clock.now()));
  }

  /** A gateway opens a connection; returns what it sends messages by. */
  connect(peer: AgentPeer): (message: GatewaySlotMessage) => void {
    const connection = this.nextConnection;
    this.nextConnection += 1;
    this.peers.set(connection, peer);
    return (message) =>
      this.clock.setTimeout(() => {
        if (this.peers.has(connection)) {
          this.ledger.receive(connection, message, this.clock.now());
        }
      }, this.linkMs);
  }

  private send(connection: number, message: AgentSlotMessage): void {
    this.clock.setTimeout(() => this.peers.get(connection)?.receive(message), this.linkMs);
  }

  private endSilent(): void {
    for (const connection of this.ledger.findTimedOut(this.clock.now())) {
      const peer = this.peers.get(connection);
      this.peers.delete(connection);
      this.ledger.disconnect(connection, this.clock.now());
      peer?.close();
    }
  }

  private lookAtEngine(): void {
    const nowMs = this.clock.now();
    if (this.ledger.needsProbe(nowMs)) {
      this.ledger.applyProbeResult(this.readEngine(), nowMs);
    }
  }

  private readEngine(): EngineProbeResult {
    return this.engine.isUp ? { kind: 'load', requests: this.engine.load } : { kind: 'closed' };
  }

  private repeat(periodMs: number, action: () => void): void {
    this.clock.setTimeout(() => {
      action();
      this.repeat(periodMs, action);
    }, periodMs);
  }
}
