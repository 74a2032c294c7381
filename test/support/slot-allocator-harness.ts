/**
 * Test harness for the slot allocator: injects messages of gateways and records the messages sent
 * to them.
 */
import { SlotAllocator } from '../../src/slot-agent/slot-allocator.js';
import type { ForbiddenTake, SlotAllocatorPorts } from '../../src/slot-agent/slot-allocator.js';
import type { StartRules } from '../../src/slot-agent/start-limiter.js';
import type { AgentToGateway, GatewaySlotMessage } from '../../src/slot-agent/slot-messages.js';

/** Slot allocator with recorded callbacks and simulated gateways. */
export class SlotAllocatorHarness {
  readonly sent: Array<[number, AgentToGateway]> = [];
  reconciled = 0;
  probesRequested = 0;
  scheduledUpdates = 0;
  readonly forbiddenTakes: ForbiddenTake[] = [];
  rules: StartRules | undefined;
  startDelayMs = 0;
  restriction: SlotAllocatorPorts['restriction'] = () => undefined;
  readonly allocator = new SlotAllocator({
    send: (connection, message) => this.sent.push([connection, message]),
    onGranted: () => undefined,
    onChangesPending: () => (this.scheduledUpdates += 1),
    onReconciled: (slots) => (this.reconciled += slots),
    onProbeNeeded: () => (this.probesRequested += 1),
    onAvailability: () => undefined,
    distanceTo: (zone) => (zone === 'far' ? 'other-region' : 'same-zone'),
    restriction: (allowedRegions, homeOwner) => this.restriction(allowedRegions, homeOwner),
    regionInfo: () => undefined,
    onForbiddenTake: (take) => this.forbiddenTakes.push(take),
    startRules: () => this.rules,
    onStartsDelayed: (resumeInMs) => (this.startDelayMs = resumeInMs),
  });

  admit(connection: number, held = 0, slots = 2): void {
    this.receive(connection, {
      kind: 'hello',
      gateway: `g${connection}`,
      peersAddress: '',
      held,
      slots,
    });
  }

  admitFrom(connection: number, zone: string, slots: number): void {
    const gateway = `g${connection}`;
    this.receive(connection, { kind: 'hello', gateway, zone, peersAddress: '', held: 0, slots });
  }

  receive(connection: number, message: GatewaySlotMessage, nowMs = 0): void {
    this.allocator.receive(connection, message, nowMs);
  }

  demand(connection: number, tiers: number[], waitedMs = 0, grantsSeen = 0): void {
    const ranks = tiers.map((tier) => ({ tier, rankInTier: 0, waitedMs, startInMs: 1_000 }));
    this.receive(connection, { kind: 'demand', ranks, grantsSeen }, 1_000);
  }

  sentCounts(): Array<[number, number]> {
    return this.sent.flatMap(([to, message]) =>
      message.kind === 'state' ? [[to, message.occupied] as [number, number]] : [],
    );
  }

  /** Availability in the last state message. */
  lastAvailability(): string | undefined {
    const sentValues = this.sent.flatMap(([, message]) =>
      message.kind === 'state' ? [message.availability] : [],
    );
    return sentValues.at(-1);
  }

  /** `grantsOnly` in the last state message. */
  lastGrantsOnly(): string | undefined {
    const sentValues = this.sent.flatMap(([, message]) =>
      message.kind === 'state' ? [message.grantsOnly] : [],
    );
    return sentValues.at(-1);
  }

  /** Failure share in the last state message. */
  lastFailureShare(): number | undefined {
    const sentValues = this.sent.flatMap(([, message]) =>
      message.kind === 'state' ? [message.failureShare] : [],
    );
    return sentValues.at(-1);
  }

  grants(): number[] {
    return this.sent.flatMap(([to, message]) => (message.kind === 'granted' ? [to] : []));
  }
}
