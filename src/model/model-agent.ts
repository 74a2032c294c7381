/**
 * Simulated slot agent of one engine: runs the agents' own slot allocator, with its timers, on the
 * virtual clock.
 */
import type { Clock } from '../clock.js';
import { DEFAULT_SLOT_AGENT_OPTIONS } from '../slot-agent/slot-agent-role.js';
import type { GatewaySilenceOptions } from '../slot-agent/gateway-account.js';
import type { EngineReading } from '../slot-agent/engine-watch.js';
import { SlotLedger } from '../slot-agent/slot-ledger.js';
import type { SlotAnswer, SlotMessage } from '../slot-agent/slot-messages.js';
import type { BatchEngine } from './batch-engine.js';

/** Duration of a probe of the engine, which runs on the same host, in milliseconds. */
const PROBE_MS = 1;

/** Callbacks of a gateway for its connection to an agent. */
export interface GatewayConnection {
  /** Called with each message of the agent. */
  receive(message: SlotAnswer): void;
  /** Called when the agent closed the connection. */
  close(): void;
}

/** Simulated slot agent of one engine. */
export class SimulatedAgent {
  private readonly connections = new Map<number, GatewayConnection>();
  private readonly allocator: SlotLedger;
  private nextConnectionId = 1;

  constructor(
    private readonly engine: BatchEngine,
    private readonly clock: Clock,
    /** One-way network latency to a gateway, in milliseconds. */
    private readonly linkMs: number,
    gatewayTimeouts?: GatewaySilenceOptions,
  ) {
    const { reportMs, beatMs, silenceCheckMs, tellMs } = DEFAULT_SLOT_AGENT_OPTIONS;
    this.allocator = new SlotLedger(
      {
        send: (connection, message) => this.send(connection, message),
        onGranted: () => undefined,
        onChangesToTell: () =>
          clock.setTimeout(() => this.allocator.tellChanges(clock.now()), tellMs),
        onReconciled: () => undefined,
        onLookWanted: () => clock.setTimeout(() => this.probeIfNeeded(), PROBE_MS),
        onAvailability: () => undefined,
        restriction: () => undefined,
        homesToTell: () => undefined,
        onForbiddenTake: () => undefined,
        startRules: () => undefined,
        onStartsHeld: () => undefined,
      },
      gatewayTimeouts,
    );
    this.runPeriodically(silenceCheckMs, () => this.closeTimedOut());
    this.runPeriodically(reportMs, () => this.probeIfNeeded());
    this.runPeriodically(beatMs, () => this.allocator.beat(beatMs, this.clock.now()));
  }

  /** Opens a connection from a gateway; returns the function that sends messages to the agent. */
  connect(gateway: GatewayConnection): (message: SlotMessage) => void {
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

  private send(connection: number, message: SlotAnswer): void {
    this.clock.setTimeout(() => this.connections.get(connection)?.receive(message), this.linkMs);
  }

  private closeTimedOut(): void {
    for (const connection of this.allocator.findSilent(this.clock.now())) {
      const gateway = this.connections.get(connection);
      this.connections.delete(connection);
      this.allocator.disconnect(connection, this.clock.now());
      gateway?.close();
    }
  }

  private probeIfNeeded(): void {
    const nowMs = this.clock.now();
    if (this.allocator.needsReport(nowMs)) {
      this.allocator.takeReading(this.probeEngine(), nowMs);
    }
  }

  private probeEngine(): EngineReading {
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
