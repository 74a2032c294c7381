/**
 * Tells why connections to back ends are opened: each new one makes up for one that was lost, or is one more
 * than there were.
 */
import type { Socket } from 'node:net';

/** Why a connection to a back end was lost. */
export type ConnectionLoss =
  /** It had rested for as long as it may. */
  | 'rest-over'
  /** The back end ended it, or said that it would. */
  | 'closed-by-back-end'
  /** It ended in a fault, or could not be trusted any more. */
  | 'reset'
  /** The request on it was broken off here. */
  | 'broken-off';

/** Why a connection to a back end is opened. */
export type ConnectionReason =
  | ConnectionLoss
  /** The first one to that back end. */
  | 'first'
  /** All others are in use. */
  | 'none-idle';

/** Most lost connections that are remembered of one back end. */
const MAX_REMEMBERED = 64;
/**
 * Most back ends whose lost connections are remembered; beyond, the one whose last connection was opened longest
 * ago is taken for new again. Some times what one gateway works with: addresses change over months.
 */
const MAX_ADDRESSES = 1_024;

/** Connections to back ends, by what they were opened for. */
export class ConnectionCauses {
  private readonly losses = new Map<string, ConnectionLoss[]>();
  private readonly lossOf = new WeakMap<Socket, ConnectionLoss>();
  private readonly counts = new Map<ConnectionReason, number>();

  constructor(private readonly onOpened: (reason: ConnectionReason) => void) {}

  /** How many were opened, by reason. */
  get opened(): ReadonlyMap<ConnectionReason, number> {
    return this.counts;
  }

  /** A connection to `address` is opened. */
  noteOpened(address: string, socket: Socket): void {
    const lost = this.losses.get(address);
    const reason = lost === undefined ? 'first' : (lost.shift() ?? 'none-idle');
    this.remember(address, lost ?? []);
    this.counts.set(reason, (this.counts.get(reason) ?? 0) + 1);
    this.onOpened(reason);
    socket.once('close', () => this.noteLost(address, this.lossOf.get(socket) ?? 'reset'));
  }

  /** Says why a connection ends; the first word counts. */
  noteEnding(socket: Socket, loss: ConnectionLoss): void {
    if (!this.lossOf.has(socket)) {
      this.lossOf.set(socket, loss);
    }
  }

  private remember(address: string, lost: ConnectionLoss[]): void {
    this.losses.delete(address);
    this.losses.set(address, lost);
    const [oldest] = this.losses.keys();
    if (this.losses.size > MAX_ADDRESSES && oldest !== undefined) {
      this.losses.delete(oldest);
    }
  }

  private noteLost(address: string, loss: ConnectionLoss): void {
    const lost = this.losses.get(address);
    if (lost !== undefined && lost.length < MAX_REMEMBERED) {
      lost.push(loss);
    }
  }
}
