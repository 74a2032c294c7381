/** Decides when an agent tells its gateways how many slots are occupied, without I/O. */
import type { GatewayAccount } from './gateway-account.js';

/** Counts that gateways are told of. */
export interface SlotCounts {
  /** Occupied slots. */
  occupied(): number;
  /** All slots. */
  capacity(): number;
}

/** How gateways are told. */
export interface SlotTellerPorts {
  /** Tells one gateway how things stand. */
  tell(connection: number, account: GatewayAccount, nowMs: number): void;
  /** Gateways are to be told of changes soon, by `tellChanges`. */
  onChangesToTell(): void;
}

/** Free slots up to which every change is told at once. */
const NEAR_FULL_SLOTS = 1;

/** Tells gateways of slots. */
export class SlotTeller {
  /** Below 0 while some gateway is owed a first word. */
  private lastToldOccupied = -1;
  private toldAllAtMs = -Infinity;
  private isTellingPlanned = false;

  constructor(
    /** The connected gateways, by connection. */
    private readonly accounts: ReadonlyMap<number, GatewayAccount>,
    private readonly counts: SlotCounts,
    private readonly ports: SlotTellerPorts,
  ) {}

  /** A gateway connected, or something beside the count is news to all: the next word is owed at once. */
  owe(): void {
    this.lastToldOccupied = -1;
  }

  /**
   * Tells what changed. A count near the capacity is told at once, since gateways that believe in a free
   * slot take it. Others can wait, and several changes are told as one.
   */
  tellIfChanged(nowMs: number): void {
    const occupied = this.counts.occupied();
    const nearFull = this.counts.capacity() - NEAR_FULL_SLOTS;
    const isNearFull = Math.max(occupied, this.lastToldOccupied) >= nearFull;
    if (this.lastToldOccupied < 0 || (isNearFull && occupied !== this.lastToldOccupied)) {
      this.tellAll(nowMs);
      return;
    }
    const hasChanges = occupied !== this.lastToldOccupied || this.findUntold().length > 0;
    if (hasChanges && !this.isTellingPlanned) {
      this.isTellingPlanned = true;
      this.ports.onChangesToTell();
    }
  }

  /** Tells gateways what changed since they were told last. */
  tellChanges(nowMs: number): void {
    this.isTellingPlanned = false;
    if (this.counts.occupied() !== this.lastToldOccupied) {
      this.tellAll(nowMs);
      return;
    }
    for (const [connection, account] of this.findUntold()) {
      this.tell(connection, account, nowMs);
    }
  }

  /** Shows gateways that the agent lives, unless they were told something in the last `quietMs`. */
  beat(quietMs: number, nowMs: number): void {
    if (nowMs - this.toldAllAtMs >= quietMs) {
      this.tellAll(nowMs);
    }
  }

  /** Tells every gateway how many slots are occupied. */
  tellAll(nowMs: number): void {
    this.toldAllAtMs = nowMs;
    this.lastToldOccupied = this.counts.occupied();
    for (const [connection, account] of this.accounts) {
      this.tell(connection, account, nowMs);
    }
  }

  /** Gateways that took or returned slots of which the count that they know does not show. */
  private findUntold(): Array<[number, GatewayAccount]> {
    return [...this.accounts].filter(([, account]) => account.hasUntoldTakes);
  }

  private tell(connection: number, account: GatewayAccount, nowMs: number): void {
    account.hasUntoldTakes = false;
    this.ports.tell(connection, account, nowMs);
  }
}
