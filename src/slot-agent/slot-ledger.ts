/**
 * The slots of one back end, shared among gateways, without I/O.
 *
 * The ledger counts the slots that each connected gateway holds. When one is
 * free it grants it to the gateway whose waiting request comes first. Slots of
 * a gateway whose connection broke stay occupied until the back end's own
 * report shows fewer requests.
 */
import type { LearnedSpeed, SlotAnswer, SlotMessage, WaitingRank } from './slot-messages.js';
import { compareWaiting } from './waiting-order.js';
import type { WaitingPlace } from './waiting-order.js';

interface GatewayAccount {
  readonly name: string;
  held: number;
  grantsIssued: number;
  messagesSeen: number;
  /** Waiting requests in the gateway's order, on this process's clock. */
  waiting: WaitingPlace[];
}

/** Sends a message to a connected gateway. */
export type SendToGateway = (connection: number, message: SlotAnswer) => void;

/** The slots of one back end. */
export class SlotLedger {
  private readonly accounts = new Map<number, GatewayAccount>();
  private slots = 0;
  /** Slots occupied by requests of gateways that are no longer connected. */
  private unaccounted = 0;
  private lastToldOccupied = -1;
  private speed: LearnedSpeed = {};

  constructor(private readonly send: SendToGateway) {}

  /** Whether the back end's report is needed to find out what still runs. */
  get needsReport(): boolean {
    return this.unaccounted > 0;
  }

  /** Occupied slots. */
  get occupied(): number {
    return this.held + this.unaccounted;
  }

  /** Slots of the back end; 0 until a gateway named them. */
  get capacity(): number {
    return this.slots;
  }

  private get held(): number {
    let held = 0;
    for (const account of this.accounts.values()) {
      held += account.held;
    }
    return held;
  }

  /** Takes a message of the gateway on `connection`. */
  receive(connection: number, message: SlotMessage, nowMs: number): void {
    if (message.kind === 'hello') {
      this.admit(connection, message.gateway, message.held, message.slots);
    } else {
      this.receiveFromKnown(connection, message, nowMs);
    }
    this.grant(nowMs);
    this.tellIfChanged();
  }

  /** A connection ended; what its gateway held may still run. */
  disconnect(connection: number): void {
    const account = this.accounts.get(connection);
    this.accounts.delete(connection);
    this.unaccounted += account?.held ?? 0;
    this.tellIfChanged();
  }

  /** Takes in the back end's own count of requests that run or wait there. */
  reconcile(requestsAtBackend: number, nowMs: number): void {
    this.unaccounted = Math.min(this.unaccounted, Math.max(0, requestsAtBackend - this.held));
    this.grant(nowMs);
    this.tellIfChanged();
  }

  private admit(connection: number, name: string, held: number, slots: number): void {
    for (const [other, account] of this.accounts) {
      if (account.name === name) {
        this.disconnect(other);
      }
    }
    this.slots = slots;
    this.unaccounted = Math.max(0, this.unaccounted - held);
    this.accounts.set(connection, {
      name,
      held,
      grantsIssued: 0,
      messagesSeen: 0,
      waiting: [],
    });
    this.lastToldOccupied = -1;
  }

  private receiveFromKnown(
    connection: number,
    message: Exclude<SlotMessage, { kind: 'hello' }>,
    nowMs: number,
  ): void {
    const account = this.accounts.get(connection);
    if (account === undefined) {
      return;
    }
    account.messagesSeen += 1;
    switch (message.kind) {
      case 'demand':
        account.waiting = readDemand(
          message.ranks,
          account.grantsIssued - message.grantsSeen,
          nowMs,
        );
        break;
      case 'speed':
        this.learnSpeed(message.speed);
        break;
      case 'taken':
        account.held += 1;
        break;
      case 'released':
        account.held = Math.max(0, account.held - 1);
        break;
    }
  }

  /** What is learned first is told at once; what changes later goes with the next count. */
  private learnSpeed(speed: LearnedSpeed): void {
    const isNew =
      this.speed.prefillMsPerToken === undefined && speed.prefillMsPerToken !== undefined;
    this.speed = { ...this.speed, ...speed };
    if (isNew) {
      this.lastToldOccupied = -1;
    }
  }

  private grant(nowMs: number): void {
    while (this.occupied < this.slots) {
      const next = this.findFirstWaiting(nowMs);
      if (next === undefined) {
        return;
      }
      const [connection, account] = next;
      account.waiting.shift();
      account.held += 1;
      account.grantsIssued += 1;
      this.send(connection, { kind: 'granted' });
    }
  }

  private findFirstWaiting(nowMs: number): [number, GatewayAccount] | undefined {
    let best: [number, GatewayAccount] | undefined;
    for (const entry of this.accounts) {
      const head = entry[1].waiting[0];
      const bestHead = best?.[1].waiting[0];
      if (head === undefined) {
        continue;
      }
      if (bestHead === undefined || compareWaiting(head, bestHead, nowMs) < 0) {
        best = entry;
      }
    }
    return best;
  }

  private tellIfChanged(): void {
    const { occupied } = this;
    if (occupied === this.lastToldOccupied) {
      return;
    }
    this.tellAll();
  }

  /** Tells every gateway how many slots are occupied, which also shows that the agent lives. */
  tellAll(): void {
    const { occupied } = this;
    this.lastToldOccupied = occupied;
    for (const [connection, { messagesSeen }] of this.accounts) {
      this.send(connection, { kind: 'state', occupied, messagesSeen, speed: this.speed });
    }
  }
}

/** Grants still on their way answer the first of the requests named. */
function readDemand(
  ranks: readonly WaitingRank[],
  grantsUnderWay: number,
  nowMs: number,
): WaitingPlace[] {
  return ranks
    .slice(Math.max(0, grantsUnderWay))
    .map(({ tier, rankInTier, waitedMs, startInMs }) => ({
      tier,
      rankInTier,
      arrivedAtMs: nowMs - waitedMs,
      startByMs: nowMs + startInMs,
    }));
}
