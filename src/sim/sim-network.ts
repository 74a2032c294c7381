/** A simulated network: latency, cuts in one or both directions, connections that break, real framing. */
import { FrameDecoder, FrameEncoder } from '../protocol/framing.js';
import type { Frame, Message } from '../protocol/messages.js';
import type { RandomSource } from '../random.js';
import type { SimProcess } from './sim-process.js';
import type { VirtualClock } from './virtual-clock.js';

/** Where something on the network is: its name and its zone. */
export interface NetworkAddress {
  readonly name: string;
  readonly zone: string;
}

/** Messages from `from` to `to` do not pass; each side is a name, a zone or `*`. */
export interface NetworkCut {
  readonly from: string;
  readonly to: string;
}

/** Latencies of the network. */
export interface NetworkOptions {
  /** One way within a zone, in milliseconds. */
  readonly localMs: number;
  /** One way between zones and to callers, in milliseconds. */
  readonly remoteMs: number;
}

/** Who hears of a connection, at one end of it. */
export interface ConnectionEnd {
  onFrame(frame: Frame): void;
  onClose(): void;
}

const LATENCY_SPREAD = 0.5;

/** Where a process of the other side accepts a connection; undefined refuses it. */
export type Acceptor = (connection: SimConnection) => ConnectionEnd | undefined;

/** A simulated network. */
export class SimNetwork {
  /** Added to every latency, in milliseconds. */
  extraDelayMs = 0;
  /** Bytes sent in frames. */
  sentBytes = 0;
  /** Frames sent. */
  sentFrames = 0;
  private readonly cuts = new Set<NetworkCut>();
  private readonly held: Array<{ from: NetworkAddress; to: NetworkAddress; send: () => void }> = [];

  constructor(
    readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly options: NetworkOptions,
  ) {}

  /** Cuts a direction until `heal`. */
  cut(cut: NetworkCut): void {
    this.cuts.add(cut);
  }

  /** Ends a cut; what was held goes on its way. */
  heal(cut: NetworkCut): void {
    this.cuts.delete(cut);
    const waiting = this.held.splice(0);
    for (const packet of waiting) {
      if (this.isCut(packet.from, packet.to)) {
        this.held.push(packet);
      } else {
        packet.send();
      }
    }
  }

  /** Whether messages from `from` reach `to`. */
  isCut(from: NetworkAddress, to: NetworkAddress): boolean {
    for (const cut of this.cuts) {
      if (matches(cut.from, from) && matches(cut.to, to)) {
        return true;
      }
    }
    return false;
  }

  /** A latency from `from` to `to`, in milliseconds. */
  latencyMs(from: NetworkAddress, to: NetworkAddress): number {
    const base = from.zone === to.zone ? this.options.localMs : this.options.remoteMs;
    return base * (1 + LATENCY_SPREAD * this.random.next()) + this.extraDelayMs;
  }

  /** Runs `arrive` at the other side after the latency; a cut holds it back until it heals. */
  transmit(from: NetworkAddress, to: NetworkAddress, arrive: () => void): void {
    this.transmitAfter(from, to, this.latencyMs(from, to), arrive);
  }

  /** Like `transmit`, after a delay that the sender chose. */
  transmitAfter(
    from: NetworkAddress,
    to: NetworkAddress,
    delayMs: number,
    arrive: () => void,
  ): void {
    this.clock.setTimeout(() => {
      if (this.isCut(from, to)) {
        this.held.push({ from, to, send: arrive });
      } else {
        arrive();
      }
    }, delayMs);
  }
}

/** One connection between two processes, with a frame stream in each direction. */
export class SimConnection {
  private isOpen = true;
  private readonly forward: FrameStream;
  private readonly backward: FrameStream;

  constructor(
    network: SimNetwork,
    readonly client: SimProcess,
    readonly server: SimProcess,
    clientEnd: ConnectionEnd,
  ) {
    this.forward = new FrameStream(network, client, server);
    this.backward = new FrameStream(network, server, client);
    this.backward.receiver = clientEnd;
  }

  /** Opens the connection: the server end accepts it after the latency, or the client end hears its close. */
  open(accept: Acceptor): void {
    this.forward.sendOpen((isListening) => {
      const end = isListening ? accept(this) : undefined;
      if (end === undefined) {
        this.closeFrom(this.server);
        return;
      }
      this.forward.receiver = end;
    });
  }

  /** Sends one frame from `sender`. */
  send(sender: SimProcess, generation: number, messages: Message[]): void {
    if (this.isOpen) {
      (sender === this.client ? this.forward : this.backward).send({ generation, messages });
    }
  }

  /** Ends the connection from one side; the other side hears of it after what was sent before. */
  closeFrom(side: SimProcess): void {
    if (!this.isOpen) {
      return;
    }
    this.isOpen = false;
    const stream = side === this.client ? this.forward : this.backward;
    const own = side === this.client ? this.backward : this.forward;
    own.isClosed = true;
    stream.sendClose();
  }
}

/** Anything sent one way between two places, in order although latencies differ. */
export class OrderedStream<Item> {
  private readonly queue: Item[] = [];
  private lastArrivalMs = 0;

  constructor(
    private readonly network: SimNetwork,
    private readonly from: NetworkAddress,
    private readonly to: NetworkAddress,
    private readonly arrive: (item: Item) => void,
  ) {}

  /** Sends `item` after everything that was sent before. */
  send(item: Item): void {
    const { clock } = this.network;
    const arrivalMs = clock.now() + this.network.latencyMs(this.from, this.to);
    this.lastArrivalMs = Math.max(this.lastArrivalMs, arrivalMs);
    this.queue.push(item);
    this.network.transmitAfter(this.from, this.to, this.lastArrivalMs - clock.now(), () => {
      // Whatever arrives takes the oldest of the queue.
      this.arrive(this.queue.shift()!);
    });
  }
}

/** What travels on a connection: its opening, frames, its end. */
type StreamItem = Buffer | 'close' | ((isListening: boolean) => void);

/** Frames in one direction, in order. */
class FrameStream {
  receiver: ConnectionEnd | undefined;
  isClosed = false;
  private readonly encoder = new FrameEncoder();
  private readonly decoder = new FrameDecoder();
  private readonly stream: OrderedStream<StreamItem>;

  constructor(
    private readonly network: SimNetwork,
    from: SimProcess,
    to: SimProcess,
  ) {
    const receiverStart = to.startCount;
    this.stream = new OrderedStream(network, from.machine, to.machine, (item) => {
      if (typeof item === 'function') {
        // The operating system answers, also for a frozen process, before any frame comes.
        item(to.isAlive && to.startCount === receiverStart);
        return;
      }
      to.deliver(receiverStart, () => this.take(item));
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

  private take(item: Buffer | 'close'): void {
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

function matches(pattern: string, address: NetworkAddress): boolean {
  return pattern === '*' || pattern === address.name || pattern === address.zone;
}
