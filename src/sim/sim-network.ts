/**
 * A simulated network with latency, partitions, and connections that use the framing of the
 * protocol. A partition holds packets back; it closes no connection.
 */
import { FrameDecoder, FrameEncoder } from '../protocol/framing.js';
import type { Frame, Message } from '../protocol/messages.js';
import type { RandomSource } from '../random.js';
import type { SimProcess } from './sim-process.js';
import type { VirtualClock } from './virtual-clock.js';

/** Name and zone of an endpoint; both can be matched by a `NetworkPartition`. */
export interface NetworkAddress {
  readonly name: string;
  readonly zone: string;
}

/** A one-way partition that blocks messages from `from` to `to`; each is a name, a zone or `*`. */
export interface NetworkPartition {
  readonly from: string;
  readonly to: string;
}

/** Base latencies of the network. */
export interface NetworkOptions {
  /** One way within a zone, in milliseconds. */
  readonly localMs: number;
  /** One way between zones and to callers, in milliseconds. */
  readonly remoteMs: number;
}

/** Callbacks for the events of a connection at one of its ends. */
export interface ConnectionHandlers {
  onFrame(frame: Frame): void;
  onClose(): void;
}

/** Largest random increase of a base latency, as a share of it. */
const LATENCY_JITTER = 0.5;

/** Accepts a connection on the server side; returns undefined to refuse it. */
export type ConnectionAcceptor = (connection: SimConnection) => ConnectionHandlers | undefined;

/** Delivers packets after a latency; holds those that a partition blocks until it is removed. */
export class SimNetwork {
  /** Added to every latency, in milliseconds. */
  extraLatencyMs = 0;
  /** Total size of the frames sent, in bytes. */
  sentBytes = 0;
  /** Number of frames sent. */
  sentFrames = 0;
  private readonly partitions = new Set<NetworkPartition>();
  private readonly blockedPackets: Array<{
    from: NetworkAddress;
    to: NetworkAddress;
    arrive: () => void;
  }> = [];

  constructor(
    readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly options: NetworkOptions,
  ) {}

  /** Blocks one direction until `removePartition`. */
  addPartition(partition: NetworkPartition): void {
    this.partitions.add(partition);
  }

  /** Removes a partition and delivers the packets that no other partition blocks. */
  removePartition(partition: NetworkPartition): void {
    this.partitions.delete(partition);
    const packets = this.blockedPackets.splice(0);
    for (const packet of packets) {
      if (this.isPartitioned(packet.from, packet.to)) {
        this.blockedPackets.push(packet);
      } else {
        packet.arrive();
      }
    }
  }

  /** Whether a partition blocks messages from `from` to `to`. */
  isPartitioned(from: NetworkAddress, to: NetworkAddress): boolean {
    for (const partition of this.partitions) {
      if (matchesAddress(partition.from, from) && matchesAddress(partition.to, to)) {
        return true;
      }
    }
    return false;
  }

  /** Returns a random latency from `from` to `to`, in milliseconds. */
  latencyMs(from: NetworkAddress, to: NetworkAddress): number {
    const base = from.zone === to.zone ? this.options.localMs : this.options.remoteMs;
    return base * (1 + LATENCY_JITTER * this.random.next()) + this.extraLatencyMs;
  }

  /** Calls `arrive` after the latency, or once no partition blocks the packet. */
  transmit(from: NetworkAddress, to: NetworkAddress, arrive: () => void): void {
    this.transmitAfter(from, to, this.latencyMs(from, to), arrive);
  }

  /** Like `transmit`, with a given delay. */
  transmitAfter(
    from: NetworkAddress,
    to: NetworkAddress,
    delayMs: number,
    arrive: () => void,
  ): void {
    this.clock.setTimeout(() => {
      if (this.isPartitioned(from, to)) {
        this.blockedPackets.push({ from, to, arrive });
      } else {
        arrive();
      }
    }, delayMs);
  }
}

/** A connection between two processes, with an ordered frame stream in each direction. */
export class SimConnection {
  private isOpen = true;
  private readonly forward: FrameStream;
  private readonly backward: FrameStream;

  constructor(
    network: SimNetwork,
    readonly client: SimProcess,
    readonly server: SimProcess,
    clientHandlers: ConnectionHandlers,
  ) {
    this.forward = new FrameStream(network, client, server);
    this.backward = new FrameStream(network, server, client);
    this.backward.receiver = clientHandlers;
  }

  /**
   * Opens the connection: after the latency the server accepts it, or refuses it and the client's
   * `onClose` is called.
   */
  open(accept: ConnectionAcceptor): void {
    this.forward.sendOpen((isListening) => {
      const handlers = isListening ? accept(this) : undefined;
      if (handlers === undefined) {
        this.closeFrom(this.server);
        return;
      }
      this.forward.receiver = handlers;
    });
  }

  /** Sends one frame from `sender`; drops it if the connection is closed. */
  send(sender: SimProcess, generation: number, messages: Message[]): void {
    if (this.isOpen) {
      (sender === this.client ? this.forward : this.backward).send({ generation, messages });
    }
  }

  /**
   * Closes the connection from one side; the other side receives the close after all earlier
   * frames.
   */
  closeFrom(side: SimProcess): void {
    if (!this.isOpen) {
      return;
    }
    this.isOpen = false;
    const outgoing = side === this.client ? this.forward : this.backward;
    const incoming = side === this.client ? this.backward : this.forward;
    incoming.isClosed = true;
    outgoing.sendClose();
  }
}

/** A one-way stream between two addresses that preserves order although latencies vary. */
export class OrderedStream<Item> {
  private readonly queue: Item[] = [];
  private lastArrivalMs = 0;

  constructor(
    private readonly network: SimNetwork,
    private readonly from: NetworkAddress,
    private readonly to: NetworkAddress,
    private readonly onArrival: (item: Item) => void,
  ) {}

  /** Sends `item`; it arrives after all earlier items. */
  send(item: Item): void {
    const { clock } = this.network;
    const arrivalMs = clock.now() + this.network.latencyMs(this.from, this.to);
    this.lastArrivalMs = Math.max(this.lastArrivalMs, arrivalMs);
    this.queue.push(item);
    this.network.transmitAfter(this.from, this.to, this.lastArrivalMs - clock.now(), () => {
      // Each arrival delivers the oldest queued item.
      this.onArrival(this.queue.shift()!);
    });
  }
}

/** An item on a connection: an encoded frame, the close, or the callback that opens it. */
type StreamItem = Buffer | 'close' | ((isListening: boolean) => void);

/** Encodes, sends and decodes the frames of one direction, in order. */
class FrameStream {
  receiver: ConnectionHandlers | undefined;
  isClosed = false;
  private readonly encoder = new FrameEncoder();
  private readonly decoder = new FrameDecoder();
  private readonly stream: OrderedStream<StreamItem>;

  constructor(
    private readonly network: SimNetwork,
    from: SimProcess,
    to: SimProcess,
  ) {
    const receiverStartCount = to.startCount;
    this.stream = new OrderedStream(network, from.machine, to.machine, (item) => {
      if (typeof item === 'function') {
        // The operating system accepts connections even while the process is frozen.
        item(to.isAlive && to.startCount === receiverStartCount);
        return;
      }
      to.deliver(receiverStartCount, () => this.receive(item));
    });
  }

  send(frame: Frame): void {
    const bytes = this.encoder.encode(frame);
    this.network.sentBytes += bytes.length;
    this.network.sentFrames += 1;
    this.stream.send(bytes);
  }

  sendOpen(open: (isListening: boolean) => void): void {
    this.stream.send(open);
  }

  sendClose(): void {
    this.stream.send('close');
  }

  private receive(item: Buffer | 'close'): void {
    if (this.isClosed) {
      return;
    }
    if (item === 'close') {
      this.receiver?.onClose();
      return;
    }
    for (const frame of this.decoder.push(item).unwrap()) {
      this.receiver?.onFrame(frame);
    }
  }
}

function matchesAddress(pattern: string, address: NetworkAddress): boolean {
  return pattern === '*' || pattern === address.name || pattern === address.zone;
}
