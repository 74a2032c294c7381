/** A slot ledger whose gateways the test plays, and what they are told. */
import { SlotLedger } from '../../src/slot-agent/slot-ledger.js';
import type { ForbiddenTake, SlotLedgerPorts } from '../../src/slot-agent/slot-ledger.js';
import type { StartRules } from '../../src/slot-agent/start-limiter.js';
import type { AgentToGateway, SlotMessage } from '../../src/slot-agent/slot-messages.js';

/** A slot ledger whose gateways the test plays. */
export class Agent {
  readonly sent: Array<[number, AgentToGateway]> = [];
  reconciled = 0;
  looksWanted = 0;
  plannedTellings = 0;
  readonly forbiddenTakes: ForbiddenTake[] = [];
  rules: StartRules | undefined;
  heldMs = 0;
  restriction: SlotLedgerPorts['restriction'] = () => undefined;
  readonly ledger = new SlotLedger({
    send: (connection, message) => this.sent.push([connection, message]),
    onGranted: () => undefined,
    onChangesToTell: () => (this.plannedTellings += 1),
    onReconciled: (slots) => (this.reconciled += slots),
    onLookWanted: () => (this.looksWanted += 1),
    onAvailability: () => undefined,
    distanceTo: (zone) => (zone === 'far' ? 'other-region' : 'same-zone'),
    restriction: (allowedRegions, homeOwner) => this.restriction(allowedRegions, homeOwner),
    homesToTell: () => undefined,
    onForbiddenTake: (take) => this.forbiddenTakes.push(take),
    startRules: () => this.rules,
    onStartsHeld: (resumeInMs) => (this.heldMs = resumeInMs),
  });

  admit(connection: number, held = 0, slots = 2): void {
    this.hear(connection, {
      kind: 'hello',
      gateway: `g${connection}`,
      peersAddress: '',
      held,
      slots,
    });
  }

  admitFrom(connection: number, zone: string, slots: number): void {
    const gateway = `g${connection}`;
    this.hear(connection, { kind: 'hello', gateway, zone, peersAddress: '', held: 0, slots });
  }

  hear(connection: number, message: SlotMessage, nowMs = 0): void {
    this.ledger.receive(connection, message, nowMs);
  }

  demand(connection: number, tiers: number[], waitedMs = 0, grantsSeen = 0): void {
    const ranks = tiers.map((tier) => ({ tier, rankInTier: 0, waitedMs, startInMs: 1_000 }));
    this.hear(connection, { kind: 'demand', ranks, grantsSeen }, 1_000);
  }

  counts(): Array<[number, number]> {
    return this.sent.flatMap(([to, message]) =>
      message.kind === 'state' ? [[to, message.occupied] as [number, number]] : [],
    );
  }

  /** What gateways were told last of whether they may use the engine. */
  toldAvailability(): string | undefined {
    const told = this.sent.flatMap(([, message]) =>
      message.kind === 'state' ? [message.availability] : [],
    );
    return told.at(-1);
  }

  /** Why gateways were told last not to take free slots. */
  toldGrantsOnly(): string | undefined {
    const told = this.sent.flatMap(([, message]) =>
      message.kind === 'state' ? [message.grantsOnly] : [],
    );
    return told.at(-1);
  }

  /** Share of failures that gateways were told last. */
  toldFailureShare(): number | undefined {
    const told = this.sent.flatMap(([, message]) =>
      message.kind === 'state' ? [message.failureShare] : [],
    );
    return told.at(-1);
  }

  grants(): number[] {
    return this.sent.flatMap(([to, message]) => (message.kind === 'granted' ? [to] : []));
  }
}
