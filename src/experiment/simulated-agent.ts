/**
 * Simulated slot agent of one engine: runs the agents' own slot allocator, with its timers, on the
 * virtual clock.
 */
import type { Clock } from '../clock.js';
import { DEFAULT_SLOT_AGENT_OPTIONS } from '../slot-agent/slot-agent-role.js';
import type { GatewayTimeoutOptions } from '../slot-agent/gateway-session.js';
import type { EngineProbeResult } from '../slot-agent/engine-health.js';
import { SlotAllocator } from '../slot-agent/slot-allocator.js';
import type { AgentSlotMessage, GatewaySlotMessage } from '../slot-agent/slot-messages.js';
import type { BatchEngine } from './batch-engine.js';

/** Duration of a probe of the engine, which runs on the same host, in milliseconds. */
const PROBE_MS = 1;

/** Callbacks of a gateway for its connection to an agent. */
export interface GatewayConnection {
  /** Called with each message of the agent. */
  receive(message: AgentSlotMessage): void;
  /** Called when the agent closed the connection. */
  close(): void;
}

/** Simulated slot agent of one engine. */
export class SimulatedAgent {
  private readonly connections = new Map<number, GatewayConnection>();
  private readonly allocator: SlotAllocator;
  private nextConnectionId = 1;

  constructor(
    private readonly engine: BatchEngine,
    private readonly clock: Clock,
    /** One-way network latency to a gateway, in milliseconds. */
    private readonly linkMs: number,
    gatewayTimeouts?: GatewayTimeoutOptions,
  ) {
    const {
      fastProbeIntervalMs,
      heartbeatIntervalMs,
      keepaliveCheckIntervalMs,
      stateBatchDelayMs,
    } = DEFAULT_SLOT_AGENT_OPTIONS;
    this.allocator = new SlotAllocator(
      {
        send: (connection, message) => this.send(connection, message),
        onGranted: () => undefined,
        onChangesPending: () =>
          clock.setTimeout(() => this.allocator.sendChanges(clock.now()), stateBatchDelayMs),
        onReconciled: () => undefined,
        onProbeNeeded: () => clock.setTimeout(() => this.probeIfNeeded(), PROBE_MS),
        onAvailability: () => undefined,
        restriction: () => undefined,
        regionInfo: () => undefined,
        onForbiddenTake: () => undefined,
        startRules: () => undefined,
        onStartsDelayed: () => undefined,
      },
      gatewayTimeouts,
    );
    this.runPeriodically(keepaliveCheckIntervalMs, () => this.closeTimedOut());
    this.runPeriodically(fastProbeIntervalMs, () => this.probeIfNeeded());
    this.runPeriodically(heartbeatIntervalMs, () =>
      this.allocator.sendHeartbeat(heartbeatIntervalMs, this.clock.now()),
    );
  }

  /** Opens a connection from a gateway; returns the function that sends messages to the agent. */
  connect(gateway: GatewayConnection): (message: GatewaySlotMessage) => void {
    const connection = this.nextConnectionId;
    this.nextConnectionId += 1;
    this.connections.set(connection, gateway);
    return (message) =>
      this.clock.setTimeout(() => {
        if (this.connections.has(connection)) {
          this.allocator.receive(connection, message, this.clock.now());
        }
      }, this.linkMs);
  }

  private send(connection: number, message: AgentSlotMessage): void {
    this.clock.setTimeout(() => this.connections.get(connection)?.receive(message), this.linkMs);
  }

  private closeTimedOut(): void {
    for (const connection of this.allocator.findTimedOut(this.clock.now())) {
      const gateway = this.connections.get(connection);
      this.connections.delete(connection);
      this.allocator.disconnect(connection, this.clock.now());
      gateway?.close();
    }
  }

  private probeIfNeeded(): void {
    const nowMs = this.clock.now();
    if (this.allocator.needsProbe(nowMs)) {
      this.allocator.applyProbeResult(this.probeEngine(), nowMs);
    }
  }

  private probeEngine(): EngineProbeResult {
    return this.engine.isUp
      ? { kind: 'load', requests: this.engine.requestCount }
      : { kind: 'closed' };
  }

  private runPeriodically(intervalMs: number, action: () => void): void {
    this.clock.setTimeout(() => {
      action();
      this.runPeriodically(intervalMs, action);
    }, intervalMs);
  }
}
