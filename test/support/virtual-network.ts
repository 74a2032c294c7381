/**
 * A network on a virtual clock whose connections behave as TCP does when a path is cut: bytes are held and sent
 * again at intervals that double, a connection that does not come up is silent, and nothing is told of a machine
 * that lost its power.
 */
import { EventEmitter } from 'node:events';
import type { OpenedSocket, PeerListener, PeerNetwork } from '../../src/cluster/peer-network.js';
import type { MessageSocket } from '../../src/protocol/message-channel.js';
import type { HeapClock } from './heap-clock.js';

/** One way of a path, in milliseconds. */
const DELAY_MS = 1;
/** First interval after which bytes that were not acknowledged are sent again. */
const RESEND_MS = 200;
/** First interval after which a connection that does not come up is asked for again. */
const CONNECT_RESEND_MS = 1_000;

/** Whether bytes pass from one machine to another. */
export type IsOpen = (from: string, to: string) => boolean;

/** A machine as the network sees it. */
export interface NetworkHost {
  /** Address of the machine. */
  readonly address: string;
  /** Runs something in the machine's process once that is not paused; not at all if it ended. */
  act(action: () => void): void;
}

interface Segment {
  readonly bytes: Buffer | undefined;
}

/** A network of machines. */
export class VirtualNetwork {
  isOpen: IsOpen = () => true;
  /**
   * Whether a sender holds back while nothing is acknowledged, as TCP does. Without it bytes pass one way while
   * the other is cut.
   */
  needsAcknowledgement = true;
  private readonly listeners = new Map<string, VirtualListener>();
  private readonly sockets = new Map<NetworkHost, Set<VirtualSocket>>();

  constructor(readonly clock: HeapClock) {}

  /** The network as a process of `host` uses it. */
  of(host: NetworkHost): PeerNetwork {
    return {
      connect: (port, address) => this.connect(host, `${address}:${port}`),
      createListener: (onConnection) => new VirtualListener(this, host, onConnection),
    };
  }

  /** The process of `host` ended: its system ends its connections, and nothing listens there any more. */
  endProcess(host: NetworkHost): void {
    this.sockets.get(host)?.forEach((socket) => socket.end());
    this.sockets.delete(host);
    for (const [address, listener] of this.listeners) {
      if (listener.host === host) {
        this.listeners.delete(address);
      }
    }
  }

  /** A socket of the process of `host`. */
  private createSocket(host: NetworkHost): VirtualSocket {
    const socket = new VirtualSocket(this, host);
    const sockets = this.sockets.get(host) ?? new Set();
    this.sockets.set(host, sockets.add(socket));
    return socket;
  }

  /** Whether bytes that are sent now arrive and are acknowledged. */
  passes(from: string, to: string): boolean {
    return this.isOpen(from, to) && (!this.needsAcknowledgement || this.isOpen(to, from));
  }

  listen(address: string, listener: VirtualListener): void {
    this.listeners.set(address, listener);
  }

  /** A listener is gone; another process may listen there already. */
  unlisten(address: string, listener: VirtualListener): void {
    if (this.listeners.get(address) === listener) {
      this.listeners.delete(address);
    }
  }

  private connect(host: NetworkHost, address: string): OpenedSocket {
    const socket = this.createSocket(host);
    this.askForConnection(socket, address, CONNECT_RESEND_MS);
    return socket;
  }

  private askForConnection(socket: VirtualSocket, address: string, resendMs: number): void {
    const target = addressOf(address);
    this.clock.setTimeout(() => {
      if (socket.isClosed) {
        return;
      }
      const isPassing =
        this.isOpen(socket.host.address, target) && this.isOpen(target, socket.host.address);
      if (isPassing) {
        this.answerConnection(socket, address);
      } else {
        const waitMs = resendMs - DELAY_MS;
        this.clock.setTimeout(() => this.askForConnection(socket, address, resendMs * 2), waitMs);
      }
    }, DELAY_MS);
  }

  private answerConnection(socket: VirtualSocket, address: string): void {
    const listener = this.listeners.get(address);
    if (listener === undefined) {
      this.clock.setTimeout(() => socket.fail(), DELAY_MS);
      return;
    }
    const accepted = this.createSocket(listener.host);
    accepted.join(socket);
    socket.join(accepted);
    listener.host.act(() => listener.onConnection(accepted));
    this.clock.setTimeout(() => socket.host.act(() => socket.open()), DELAY_MS);
  }
}

/** Takes connections of a process. */
class VirtualListener implements PeerListener {
  private address = '';

  constructor(
    private readonly network: VirtualNetwork,
    readonly host: NetworkHost,
    readonly onConnection: (socket: MessageSocket) => void,
  ) {}

  listen(port: number, address: string): void {
    this.address = `${address}:${port}`;
    this.network.listen(this.address, this);
  }

  close(): void {
    this.network.unlisten(this.address, this);
  }
}

/** One end of a connection. */
export class VirtualSocket extends EventEmitter implements OpenedSocket {
  readonly writableLength = 0;
  isClosed = false;
  private other: VirtualSocket | undefined;
  /** Bytes that were not acknowledged, in order; undefined stands for the end. */
  private held: Segment[] = [];
  private resendMs = RESEND_MS;
  private isWaiting = false;

  constructor(
    private readonly network: VirtualNetwork,
    readonly host: NetworkHost,
  ) {
    super();
  }

  setNoDelay(): this {
    return this;
  }

  join(other: VirtualSocket): void {
    this.other = other;
  }

  open(): void {
    if (!this.isClosed) {
      this.emit('connect');
    }
  }

  /** Nothing listens there. */
  fail(): void {
    this.host.act(() => {
      if (!this.isClosed) {
        this.isClosed = true;
        this.emit('error', new Error('ECONNREFUSED'));
        this.emit('close');
      }
    });
  }

  write(bytes: Buffer): boolean {
    if (!this.isClosed) {
      this.send({ bytes });
    }
    return true;
  }

  destroy(): this {
    if (!this.isClosed) {
      this.isClosed = true;
      this.send({ bytes: undefined });
      this.network.clock.setTimeout(() => this.host.act(() => this.emit('close')), 0);
    }
    return this;
  }

  private send(segment: Segment): void {
    if (this.other === undefined) {
      return;
    }
    if (!this.isWaiting && this.passes()) {
      this.deliver(segment);
      return;
    }
    this.held.push(segment);
    if (!this.isWaiting) {
      this.isWaiting = true;
      this.resendLater();
    }
  }

  private passes(): boolean {
    return this.network.passes(this.host.address, this.other!.host.address);
  }

  private resendLater(): void {
    const waitMs = this.resendMs;
    this.resendMs *= 2;
    this.network.clock.setTimeout(() => {
      if (!this.passes()) {
        this.resendLater();
        return;
      }
      this.isWaiting = false;
      this.resendMs = RESEND_MS;
      const held = this.held;
      this.held = [];
      held.forEach((segment) => this.deliver(segment));
    }, waitMs);
  }

  private deliver({ bytes }: Segment): void {
    const { other } = this;
    this.network.clock.setTimeout(() => {
      if (other!.isClosed) {
        // The other end is gone: its machine resets the connection.
        this.network.clock.setTimeout(() => this.reset(), DELAY_MS);
      } else {
        other!.host.act(() => other!.receive(bytes));
      }
    }, DELAY_MS);
  }

  private reset(): void {
    this.host.act(() => {
      if (!this.isClosed) {
        this.isClosed = true;
        this.emit('close');
      }
    });
  }

  private receive(bytes: Buffer | undefined): void {
    if (this.isClosed) {
      return;
    }
    if (bytes === undefined) {
      this.emit('end');
    } else {
      this.emit('data', bytes);
    }
  }

  /** The process is gone: nothing of it hears of this any more. */
  end(): void {
    if (!this.isClosed) {
      this.isClosed = true;
      this.send({ bytes: undefined });
    }
  }
}

function addressOf(address: string): string {
  return address.split(':')[0]!;
}
