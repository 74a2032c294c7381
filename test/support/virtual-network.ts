/**
 * A network on a virtual clock whose connections behave as TCP does during a partition:
 * unacknowledged bytes are retransmitted at intervals that double, a connection attempt that gets
 * no response raises no error, and peers are not notified when a machine loses power.
 */
import { EventEmitter } from 'node:events';
import type { OutgoingSocket, PeerListener, PeerNetwork } from '../../src/cluster/peer-network.js';
import type { MessageSocket } from '../../src/protocol/message-channel.js';
import type { HeapClock } from './heap-clock.js';

/** One-way delay, in milliseconds. */
const DELAY_MS = 1;
/** First retransmission interval of unacknowledged bytes, in milliseconds. */
const RETRANSMIT_MS = 200;
/**
 * First interval after which a connection attempt without a response is retransmitted, in
 * milliseconds.
 */
const CONNECT_RETRANSMIT_MS = 1_000;

/** Whether bytes can pass from one machine to another. */
export type IsOpen = (from: string, to: string) => boolean;

/** A process on a machine, as the network uses it. */
export interface NetworkHost {
  /** Address of the machine. */
  readonly address: string;
  /**
   * Runs `action` in the process, after its pause if it is paused; drops it if the process has
   * exited.
   */
  runWhenActive(action: () => void): void;
}

/** Bytes on a connection, or its end if `bytes` is undefined. */
interface Segment {
  readonly bytes: Buffer | undefined;
}

export class VirtualNetwork {
  isOpen: IsOpen = () => true;
  /**
   * Whether bytes pass only while acknowledgements can return, as with TCP. If false, bytes pass in
   * one direction while the other is cut.
   */
  needsAcknowledgement = true;
  private readonly listeners = new Map<string, VirtualListener>();
  private readonly sockets = new Map<NetworkHost, Set<VirtualSocket>>();

  constructor(readonly clock: HeapClock) {}

  /** Returns the network as the process of `host` uses it. */
  createPeerNetwork(host: NetworkHost): PeerNetwork {
    return {
      isAddress: (text): text is string => text !== '',
      connect: (port, address) => this.connect(host, `${address}:${port}`),
      createListener: (onConnection) => new VirtualListener(this, host, onConnection),
    };
  }

  /** Ends the process of `host`: its connections are closed and its listeners removed. */
  endProcess(host: NetworkHost): void {
    this.sockets.get(host)?.forEach((socket) => socket.end());
    this.sockets.delete(host);
    for (const [address, listener] of this.listeners) {
      if (listener.host === host) {
        this.listeners.delete(address);
      }
    }
  }

  private createSocket(host: NetworkHost): VirtualSocket {
    const socket = new VirtualSocket(this, host);
    const sockets = this.sockets.get(host) ?? new Set();
    this.sockets.set(host, sockets.add(socket));
    return socket;
  }

  /** Whether bytes sent now arrive and, if needed, are acknowledged. */
  canDeliver(from: string, to: string): boolean {
    return this.isOpen(from, to) && (!this.needsAcknowledgement || this.isOpen(to, from));
  }

  listen(address: string, listener: VirtualListener): void {
    this.listeners.set(address, listener);
  }

  /** Removes `listener`, unless another process already listens on `address`. */
  unlisten(address: string, listener: VirtualListener): void {
    if (this.listeners.get(address) === listener) {
      this.listeners.delete(address);
    }
  }

  private connect(host: NetworkHost, address: string): OutgoingSocket {
    const socket = this.createSocket(host);
    this.attemptConnect(socket, address, CONNECT_RETRANSMIT_MS);
    return socket;
  }

  private attemptConnect(socket: VirtualSocket, address: string, retransmitMs: number): void {
    const target = addressOf(address);
    this.clock.setTimeout(() => {
      if (socket.isClosed) {
        return;
      }
      const isReachable =
        this.isOpen(socket.host.address, target) && this.isOpen(target, socket.host.address);
      if (isReachable) {
        this.completeConnect(socket, address);
      } else {
        const waitMs = retransmitMs - DELAY_MS;
        this.clock.setTimeout(() => this.attemptConnect(socket, address, retransmitMs * 2), waitMs);
      }
    }, DELAY_MS);
  }

  private completeConnect(socket: VirtualSocket, address: string): void {
    const listener = this.listeners.get(address);
    if (listener === undefined) {
      this.clock.setTimeout(() => socket.fail(), DELAY_MS);
      return;
    }
    const accepted = this.createSocket(listener.host);
    accepted.pairWith(socket);
    socket.pairWith(accepted);
    listener.host.runWhenActive(() => listener.onConnection(accepted));
    this.clock.setTimeout(() => socket.host.runWhenActive(() => socket.open()), DELAY_MS);
  }
}

/** Accepts connections for a process. */
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
export class VirtualSocket extends EventEmitter implements OutgoingSocket {
  readonly writableLength = 0;
  isClosed = false;
  private remote: VirtualSocket | undefined;
  /** Segments that were not acknowledged, in order. */
  private unacknowledged: Segment[] = [];
  private retransmitMs = RETRANSMIT_MS;
  private isRetransmitting = false;

  constructor(
    private readonly network: VirtualNetwork,
    readonly host: NetworkHost,
  ) {
    super();
  }

  setNoDelay(): this {
    return this;
  }

  pairWith(other: VirtualSocket): void {
    this.remote = other;
  }

  open(): void {
    if (!this.isClosed) {
      this.emit('connect');
    }
  }

  /** Refuses the connection: nothing listens on the address. */
  fail(): void {
    this.host.runWhenActive(() => {
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
      this.network.clock.setTimeout(() => this.host.runWhenActive(() => this.emit('close')), 0);
    }
    return this;
  }

  private send(segment: Segment): void {
    if (this.remote === undefined) {
      return;
    }
    if (!this.isRetransmitting && this.canDeliver()) {
      this.deliver(segment);
      return;
    }
    this.unacknowledged.push(segment);
    if (!this.isRetransmitting) {
      this.isRetransmitting = true;
      this.scheduleRetransmit();
    }
  }

  private canDeliver(): boolean {
    return this.network.canDeliver(this.host.address, this.remote!.host.address);
  }

  private scheduleRetransmit(): void {
    const waitMs = this.retransmitMs;
    this.retransmitMs *= 2;
    this.network.clock.setTimeout(() => {
      if (!this.canDeliver()) {
        this.scheduleRetransmit();
        return;
      }
      this.isRetransmitting = false;
      this.retransmitMs = RETRANSMIT_MS;
      const segments = this.unacknowledged;
      this.unacknowledged = [];
      segments.forEach((segment) => this.deliver(segment));
    }, waitMs);
  }

  private deliver({ bytes }: Segment): void {
    const { remote } = this;
    this.network.clock.setTimeout(() => {
      if (remote!.isClosed) {
        // The remote socket is closed, so its machine resets the connection.
        this.network.clock.setTimeout(() => this.reset(), DELAY_MS);
      } else {
        remote!.host.runWhenActive(() => remote!.receive(bytes));
      }
    }, DELAY_MS);
  }

  private reset(): void {
    this.host.runWhenActive(() => {
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

  /**
   * Closes the socket after its process has exited: sends the end to the remote and emits no event.
   */
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
