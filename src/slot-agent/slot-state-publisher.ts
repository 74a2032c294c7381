/** Decides when an agent sends state messages to its gateways, without I/O. */
import type { GatewaySession } from './gateway-session.js';

/** Slot counts of the engine. */
export interface SlotCounts {
  /** Slots in use or granted. */
  occupied(): number;
  /** Total slots. */
  capacity(): number;
}

/** Callbacks of the publisher. */
export interface SlotStatePublisherPorts {
  /** Sends a state message to one gateway. */
  sendState(connection: number, session: GatewaySession, nowMs: number): void;
  /** Called when changes are pending; the callee invokes `publishChanges` after a short delay. */
  onChangesPending(): void;
}

/** Number of free slots at or below which every change is sent immediately. */
const NEAR_FULL_SLOTS = 1;

/** Publishes the slot state to gateways. */
export class SlotStatePublisher {
  /** Occupied count of the last broadcast; below 0 forces the next update. */
  private lastSentOccupied = -1;
  private lastBroadcastAtMs = -Infinity;
  private isUpdateScheduled = false;

  constructor(
    /** The connected gateways, by connection. */
    private readonly sessions: ReadonlyMap<number, GatewaySession>,
    private readonly counts: SlotCounts,
    private readonly ports: SlotStatePublisherPorts,
  ) {}

  /**
   * Makes the next update a broadcast, after a gateway connected or something other than the count
   * changed.
   */
  forceNextUpdate(): void {
    this.lastSentOccupied = -1;
  }

  /**
   * Publishes changes. A count near the capacity is sent immediately, since gateways take a slot
   * that they consider free. Other changes are delayed and batched.
   */
  publishIfChanged(nowMs: number): void {
    const occupied = this.counts.occupied();
    const nearFull = this.counts.capacity() - NEAR_FULL_SLOTS;
    const isNearFull = Math.max(occupied, this.lastSentOccupied) >= nearFull;
    if (this.lastSentOccupied < 0 || (isNearFull && occupied !== this.lastSentOccupied)) {
      this.broadcast(nowMs);
      return;
    }
    const hasChanges = occupied !== this.lastSentOccupied || this.findOutdated().length > 0;
    if (hasChanges && !this.isUpdateScheduled) {
      this.isUpdateScheduled = true;
      this.ports.onChangesPending();
    }
  }

  /** Sends state messages for changes since the last ones. */
  publishChanges(nowMs: number): void {
    this.isUpdateScheduled = false;
    if (this.counts.occupied() !== this.lastSentOccupied) {
      this.broadcast(nowMs);
      return;
    }
    for (const [connection, session] of this.findOutdated()) {
      this.send(connection, session, nowMs);
    }
  }

  /** Broadcasts the state as heartbeat unless it was broadcast in the last `quietMs`. */
  sendHeartbeat(quietMs: number, nowMs: number): void {
    if (nowMs - this.lastBroadcastAtMs >= quietMs) {
      this.broadcast(nowMs);
    }
  }

  /** Sends a state message to every gateway. */
  broadcast(nowMs: number): void {
    this.lastBroadcastAtMs = nowMs;
    this.lastSentOccupied = this.counts.occupied();
    for (const [connection, session] of this.sessions) {
      this.send(connection, session, nowMs);
    }
  }

  /** Gateways that took slots which the last state message sent to them does not include. */
  private findOutdated(): Array<[number, GatewaySession]> {
    return [...this.sessions].filter(([, session]) => session.hasUnreportedTakes);
  }

  private send(connection: number, session: GatewaySession, nowMs: number): void {
    session.hasUnreportedTakes = false;
    this.ports.sendState(connection, session, nowMs);
  }
}
