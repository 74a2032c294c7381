/**
 * Attributes each new backend connection to a reason: it either replaces a closed connection or
 * adds one to those already open.
 */
import type { Socket } from 'node:net';

/** Why a connection to a backend was closed. */
export type ConnectionCloseReason =
  /** The idle timeout expired. */
  | 'rest-over'
  /** The backend closed it or announced `Connection: close`. */
  | 'closed-by-back-end'
  /** It failed, or was closed as no longer reliable. */
  | 'reset'
  /** The gateway cancelled the request on it. */
  | 'broken-off';

/** Why a connection to a backend is opened. */
export type ConnectionOpenReason =
  | ConnectionCloseReason
  /** The first connection to this backend. */
  | 'first'
  /** All open connections are in use. */
  | 'none-idle';

/** Maximum closed connections tracked for one backend until they are replaced. */
const MAX_UNREPLACED_PER_ADDRESS = 64;
/**
 * Maximum backends tracked; the one that opened a connection least recently is evicted and later
 * counts as new. The limit is several times the backends of one gateway, since addresses change
 * over months.
 */
const MAX_TRACKED_ADDRESSES = 1_024;

/** Counts opened backend connections by reason. */
export class ConnectionReasonTracker {
  private readonly unreplacedCloses = new Map<string, ConnectionCloseReason[]>();
  private readonly closeReasonOf = new WeakMap<Socket, ConnectionCloseReason>();
  private readonly openCounts = new Map<ConnectionOpenReason, number>();

  constructor(private readonly onOpened: (reason: ConnectionOpenReason) => void) {}

  /** Number of connections opened, by reason. */
  get opened(): ReadonlyMap<ConnectionOpenReason, number> {
    return this.openCounts;
  }

  /** Records that a connection to `address` is opened. */
  recordOpened(address: string, socket: Socket): void {
    const closes = this.unreplacedCloses.get(address);
    const reason = closes === undefined ? 'first' : (closes.shift() ?? 'none-idle');
    this.storeCloses(address, closes ?? []);
    this.openCounts.set(reason, (this.openCounts.get(reason) ?? 0) + 1);
    this.onOpened(reason);
    socket.once('close', () =>
      this.recordClosed(address, this.closeReasonOf.get(socket) ?? 'reset'),
    );
  }

  /** Sets why a connection closes; only the first reason set is used. */
  setCloseReason(socket: Socket, reason: ConnectionCloseReason): void {
    if (!this.closeReasonOf.has(socket)) {
      this.closeReasonOf.set(socket, reason);
    }
  }

  private storeCloses(address: string, closes: ConnectionCloseReason[]): void {
    this.unreplacedCloses.delete(address);
    this.unreplacedCloses.set(address, closes);
    const [oldest] = this.unreplacedCloses.keys();
    if (this.unreplacedCloses.size > MAX_TRACKED_ADDRESSES && oldest !== undefined) {
      this.unreplacedCloses.delete(oldest);
    }
  }

  private recordClosed(address: string, reason: ConnectionCloseReason): void {
    const closes = this.unreplacedCloses.get(address);
    if (closes !== undefined && closes.length < MAX_UNREPLACED_PER_ADDRESS) {
      closes.push(reason);
    }
  }
}
