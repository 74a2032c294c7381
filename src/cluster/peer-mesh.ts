/**
 * Connections among gateways: each speaks on the connections that it opened and
 * hears on those that others opened to it. Only questions and their answers go
 * back on the connection that they came on.
 *
 * Addresses come from the settings' seeds and from what peers pass on.
 */
import { splitAddress } from '../address.js';
import type { Clock, TimerHandle } from '../clock.js';
import { MessageChannel } from '../protocol/message-channel.js';
import type { RandomSource } from '../random.js';
import { withJitter } from '../random.js';
import type { MessageSocket } from '../protocol/message-channel.js';
import type { PeerHello, PeerMessage } from './peer-messages.js';
import { TCP_PEER_NETWORK } from './peer-network.js';
import type { PeerListener, PeerNetwork } from './peer-network.js';

/** Sends a message to one peer. */
export type SendToPeer = (message: PeerMessage) => void;

/** Who hears of peers. */
export interface PeerMeshHandlers {
  /** The peer that said `hello` said something; `reply` goes back to it. */
  onMessage(hello: PeerHello, message: PeerMessage, reply: SendToPeer): void;
  /** A peer asks back on a connection that this process opened. */
  onQuestion(message: PeerMessage, reply: SendToPeer): void;
  /** A connection to a peer was opened by this process; what it must know is sent now. */
  onOpened(send: SendToPeer): void;
  /** A peer was heard for the first time, or is gone. */
  onPeer(peer: string, isPresent: boolean): void;
}

/** Times of the mesh, in milliseconds, and its size. */
export interface PeerMeshOptions {
  /** First and longest pause before connecting again. Defaults 200 and 3,000. */
  readonly retryMinMs: number;
  readonly retryMaxMs: number;
  /** Longest time for a connection to come up. Default 1,000. */
  readonly connectTimeoutMs: number;
  /** Failed tries in a row after which an address that is no seed is forgotten. Default 8. */
  readonly maxFailures: number;
  /** Most connections that are opened; further addresses stand in for those that fail. Default: no limit. */
  readonly maxConnections: number;
  /**
   * Time in which new addresses are gathered before peers are told, in milliseconds. Default 50: when
   * many start at once, each would otherwise tell each of each.
   */
  readonly gatherAddressesMs: number;
}

/** Defaults of the mesh. */
export const DEFAULT_PEER_MESH_OPTIONS: PeerMeshOptions = {
  retryMinMs: 200,
  retryMaxMs: 3_000,
  connectTimeoutMs: 1_000,
  maxFailures: 8,
  maxConnections: Infinity,
  gatherAddressesMs: 50,
};

const RETRY_SPREAD = 0.3;
/** Time for which a connection stands at least before it is opened anew because its peer hears nothing. */
const MIN_STANDING_MS = 500;

interface OutgoingPeer {
  readonly address: string;
  channel: MessageChannel<PeerMessage, PeerMessage> | undefined;
  /** Whether a connection stands or is being opened. */
  isWanted: boolean;
  isOpen: boolean;
  failures: number;
  /** When the connection came up, or its peer was heard on its own, in milliseconds. */
  aliveAtMs: number;
  /** When the connection came up, in milliseconds. */
  openedAtMs: number;
  /** When its peer was heard last, or its address was learned, in milliseconds. */
  heardAtMs: number;
  /** Opens the next connection; undefined while one stands or comes up. */
  retryTimer: TimerHandle | undefined;
}

/** Connections among gateways. */
export class PeerMesh {
  private readonly outgoing = new Map<string, OutgoingPeer>();
  /** Incarnations heard on open incoming connections, by name. */
  private readonly heard = new Map<string, string>();
  /** Every address that was ever learned. */
  private readonly everKnown = new Set<string>();
  private hasHeard = false;
  private readonly listener: PeerListener;
  private isStopped = false;
  /** Silence after which a peer counts as not heard, in milliseconds. */
  private silenceMs = Infinity;
  /** Addresses that peers have not been told of. */
  private newAddresses: string[] = [];

  constructor(
    private readonly self: PeerHello,
    private readonly seeds: readonly string[],
    private readonly handlers: PeerMeshHandlers,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly options: PeerMeshOptions = DEFAULT_PEER_MESH_OPTIONS,
    private readonly network: PeerNetwork = TCP_PEER_NETWORK,
  ) {
    this.listener = network.createListener((socket) => this.accept(socket));
  }

  /** Gateways known, this one included. */
  get size(): number {
    return Math.max(this.outgoing.size, this.heard.size) + 1;
  }

  /** Addresses of all gateways that were ever known, those that are gone included. */
  get addressesEverKnown(): ReadonlySet<string> {
    return this.everKnown;
  }

  /** Whether some gateway was ever heard. */
  get hasHeardPeers(): boolean {
    return this.hasHeard;
  }

  /** Takes connections of others. */
  listen(host: string, port: number): void {
    this.listener.listen(port, host);
  }

  /** Connects to the seeds. */
  start(): void {
    this.learnAddresses(this.seeds);
  }

  /** Says `message` to every peer. */
  broadcast(message: PeerMessage): void {
    for (const { channel, isOpen } of this.outgoing.values()) {
      if (isOpen) {
        channel?.send(message);
      }
    }
  }

  /** Says `message` to the peer at `address`; false if no connection to it stands. */
  sendTo(address: string, message: PeerMessage): boolean {
    const peer = this.outgoing.get(address);
    if (peer === undefined || !peer.isOpen) {
      return false;
    }
    peer.channel?.send(message);
    return true;
  }

  /**
   * Opens a further connection to each peer of which nothing was heard for `silenceMs`; once it stands it
   * takes the place of the one before. Connections may fall silent for good without a reset, and nothing comes
   * back on the one that this process opened: its greeting asks the peer to open its own anew. A peer that is
   * only cut off for a while keeps the one that it has.
   */
  reopenSilent(silenceMs: number): void {
    this.silenceMs = silenceMs;
    const nowMs = this.clock.now();
    for (const peer of this.outgoing.values()) {
      if (peer.isOpen && nowMs - peer.aliveAtMs > silenceMs) {
        peer.aliveAtMs = nowMs;
        this.open(peer);
      }
    }
  }

  /** Ends every connection. */
  stop(): void {
    this.isStopped = true;
    this.listener.close();
    for (const { channel } of this.outgoing.values()) {
      channel?.flush();
      channel?.close();
    }
  }

  /** Connects to gateways that were not known. */
  learnAddresses(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (address === '' || address === this.self.address || this.outgoing.has(address)) {
        continue;
      }
      this.everKnown.add(address);
      this.outgoing.set(address, {
        address,
        channel: undefined,
        isWanted: false,
        isOpen: false,
        failures: 0,
        aliveAtMs: -Infinity,
        openedAtMs: -Infinity,
        heardAtMs: this.clock.now(),
        retryTimer: undefined,
      });
      this.passOn(address);
    }
    this.openWanted();
  }

  /** Tells peers of a new address, together with those that come soon after. */
  private passOn(address: string): void {
    if (this.newAddresses.length === 0) {
      this.clock.setTimeout(() => {
        this.broadcast({ kind: 'addresses', addresses: this.newAddresses });
        this.newAddresses = [];
      }, this.options.gatherAddressesMs);
    }
    this.newAddresses.push(address);
  }

  /** Opens connections up to the limit, first to the addresses that failed least. */
  private openWanted(): void {
    const peers = [...this.outgoing.values()];
    const idle = peers.filter(({ isWanted }) => !isWanted);
    const free = this.options.maxConnections - (peers.length - idle.length);
    idle.sort((left, right) => left.failures - right.failures);
    for (const peer of idle.slice(0, Math.max(0, free))) {
      peer.isWanted = true;
      this.openLater(peer);
    }
  }

  private openLater(peer: OutgoingPeer): void {
    if (peer.failures === 0) {
      this.open(peer);
      return;
    }
    const { retryMinMs, retryMaxMs } = this.options;
    const delayMs = Math.min(retryMaxMs, retryMinMs * 2 ** (peer.failures - 1));
    const jitteredMs = withJitter(this.random, delayMs, RETRY_SPREAD);
    peer.retryTimer = this.clock.setTimeout(() => this.open(peer), jitteredMs);
  }

  /** A peer is there and greets: the connection to it is opened now where it is down, or carries nothing. */
  private openToGreeter({ address, hearsNothing }: PeerHello): void {
    const peer = this.outgoing.get(address);
    if (peer === undefined) {
      return;
    }
    const nowMs = this.clock.now();
    const isDead = hearsNothing === true && nowMs - peer.openedAtMs >= MIN_STANDING_MS;
    if (peer.retryTimer !== undefined || (peer.isOpen && isDead)) {
      this.clock.clearTimeout(peer.retryTimer);
      this.open(peer);
    }
  }

  private open(peer: OutgoingPeer): void {
    peer.retryTimer = undefined;
    if (this.isStopped) {
      return;
    }
    const { host, port } = splitAddress(peer.address);
    const socket = this.network.connect(port, host);
    const timer = this.clock.setTimeout(() => socket.destroy(), this.options.connectTimeoutMs);
    const channel = new MessageChannel<PeerMessage, PeerMessage>(socket, {
      onMessage: (message) => this.handlers.onQuestion(message, (answer) => channel.send(answer)),
      onClose: () => {
        this.clock.clearTimeout(timer);
        if (peer.channel === channel) {
          this.closeOutgoing(peer);
        }
      },
    });
    if (!peer.isOpen) {
      peer.channel = channel;
    }
    socket.once('connect', () => {
      this.clock.clearTimeout(timer);
      this.use(peer, channel);
    });
  }

  /** A connection stands: it takes the place of the one before, if there is one. */
  private use(peer: OutgoingPeer, channel: MessageChannel<PeerMessage, PeerMessage>): void {
    const earlier = peer.channel;
    peer.channel = channel;
    if (earlier !== channel) {
      earlier?.close();
    }
    this.greet(peer, channel);
  }

  private greet(peer: OutgoingPeer, channel: MessageChannel<PeerMessage, PeerMessage>): void {
    const nowMs = this.clock.now();
    peer.isOpen = true;
    peer.failures = 0;
    peer.aliveAtMs = nowMs;
    peer.openedAtMs = nowMs;
    const hearsNothing = nowMs - peer.heardAtMs > this.silenceMs;
    channel.send(hearsNothing ? { ...this.self, hearsNothing } : this.self);
    channel.send({ kind: 'addresses', addresses: [this.self.address, ...this.outgoing.keys()] });
    this.handlers.onOpened((message) => channel.send(message));
  }

  private closeOutgoing(peer: OutgoingPeer): void {
    peer.isOpen = false;
    peer.isWanted = false;
    peer.failures += 1;
    if (peer.failures > this.options.maxFailures && !this.seeds.includes(peer.address)) {
      this.outgoing.delete(peer.address);
    }
    this.openWanted();
  }

  private accept(socket: MessageSocket): void {
    let hello: PeerHello | undefined;
    const channel = new MessageChannel<PeerMessage, PeerMessage>(socket, {
      onMessage: (message) => {
        if (message.kind === 'hello') {
          hello = message;
          this.hear(message);
        } else if (hello !== undefined) {
          this.receive(hello, message, (answer) => channel.send(answer));
        }
      },
      onClose: () => undefined,
    });
  }

  private hear(hello: PeerHello): void {
    if (hello.role === 'replica') {
      return;
    }
    const earlier = this.heard.get(hello.name);
    if (earlier !== undefined && earlier !== hello.incarnation) {
      this.handlers.onPeer(earlier, false);
    }
    this.hasHeard = true;
    this.heard.set(hello.name, hello.incarnation);
    this.handlers.onPeer(hello.incarnation, true);
    this.learnAddresses([hello.address]);
    this.openToGreeter(hello);
  }

  private receive(hello: PeerHello, message: PeerMessage, reply: SendToPeer): void {
    const peer = this.outgoing.get(hello.address);
    if (peer !== undefined) {
      peer.aliveAtMs = this.clock.now();
      peer.heardAtMs = peer.aliveAtMs;
    }
    if (message.kind === 'addresses') {
      this.learnAddresses(message.addresses);
      return;
    }
    if (message.kind === 'leaving' && this.heard.get(hello.name) === hello.incarnation) {
      this.heard.delete(hello.name);
      this.handlers.onPeer(hello.incarnation, false);
    }
    this.handlers.onMessage(hello, message, reply);
  }
}
