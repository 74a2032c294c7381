/**
 * Mesh of connections among gateways. Each process sends on the connections that it opened and
 * receives on those that its peers opened to it. Only replies go back on the connection on which
 * the message arrived.
 *
 * Addresses come from the seeds in the settings and from `addresses` messages of peers.
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

/** Callbacks of the mesh. */
export interface PeerMeshHandlers {
  /** A message arrived from the peer that sent `hello`; `reply` sends on the same connection. */
  onMessage(hello: PeerHello, message: PeerMessage, reply: SendToPeer): void;
  /**
   * A reply arrived on a connection that this process opened; `reply` sends on the same connection.
   */
  onReply(message: PeerMessage, reply: SendToPeer): void;
  /** This process opened a connection to a peer; `send` sends it the initial state. */
  onOpened(send: SendToPeer): void;
  /** An incarnation of a peer sent its hello, was replaced by a later one, or is leaving. */
  onPeerChange(peer: string, isPresent: boolean): void;
}

/** Limits of the mesh; times are in milliseconds. */
export interface PeerMeshOptions {
  /** Minimum and maximum reconnect backoff. Defaults: 200 and 3,000. */
  readonly retryMinMs: number;
  readonly retryMaxMs: number;
  /** Connect timeout. Default: 1,000. */
  readonly connectTimeoutMs: number;
  /**
   * Maximum consecutive failures of an address that is not a seed; it is dropped after one more.
   * Default: 8.
   */
  readonly maxFailures: number;
  /** Maximum open connections; further addresses replace those that fail. Default: no limit. */
  readonly maxConnections: number;
  /**
   * Time for which new addresses are batched before they are broadcast, in milliseconds. Default:
   * 50. Without it, gateways that start together would each send every address to every peer on its
   * own.
   */
  readonly addressBatchMs: number;
}

/** Defaults of `PeerMeshOptions`. */
export const DEFAULT_PEER_MESH_OPTIONS: PeerMeshOptions = {
  retryMinMs: 200,
  retryMaxMs: 3_000,
  connectTimeoutMs: 1_000,
  maxFailures: 8,
  maxConnections: Infinity,
  addressBatchMs: 50,
};

const RETRY_JITTER = 0.3;
/** Minimum age of a connection before it is replaced because its peer receives nothing on it. */
const MIN_CONNECTION_AGE_MS = 500;

/** A gateway to which a connection is open. */
export interface OpenPeer {
  readonly address: string;
  /** Its zone; undefined until it sent a hello. */
  readonly zone: string | undefined;
}

interface OutgoingPeer {
  readonly address: string;
  zone: string | undefined;
  channel: MessageChannel<PeerMessage, PeerMessage> | undefined;
  /** Whether a connection is open, being opened or scheduled; counts towards `maxConnections`. */
  isSelected: boolean;
  isOpen: boolean;
  failures: number;
  /**
   * When the connection last opened, its replacement was last started or a message of its peer last
   * arrived, in milliseconds.
   */
  lastActiveAtMs: number;
  /** When the connection opened, in milliseconds. */
  openedAtMs: number;
  /** When a message of its peer last arrived, or its address was added, in milliseconds. */
  lastReceivedAtMs: number;
  /** Opens the next connection; undefined while one is open or being opened. */
  retryTimer: TimerHandle | undefined;
}

/** Opens, replaces and accepts the connections to other gateways. */
export class PeerMesh {
  private readonly outgoing = new Map<string, OutgoingPeer>();
  /** Last incarnation that sent a hello, by gateway name. */
  private readonly incarnations = new Map<string, string>();
  /** Every address ever added, including dropped ones. */
  private readonly allAddresses = new Set<string>();
  private hasReceivedHello = false;
  private openPeersGeneration = 0;
  private readonly listener: PeerListener;
  private isStopped = false;
  /** Time without messages after which a peer counts as silent, in milliseconds. */
  private silenceThresholdMs = Infinity;
  /** Addresses that were not broadcast yet. */
  private unannouncedAddresses: string[] = [];

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

  /** Number of known gateways, including this one. */
  get size(): number {
    return Math.max(this.outgoing.size, this.incarnations.size) + 1;
  }

  /** Addresses of all gateways ever known, including those that are gone. */
  get allKnownAddresses(): ReadonlySet<string> {
    return this.allAddresses;
  }

  /** Whether a hello of another gateway ever arrived. */
  get hasReachedPeers(): boolean {
    return this.hasReceivedHello;
  }

  /** Increases whenever `openPeers` changes. */
  get generation(): number {
    return this.openPeersGeneration;
  }

  /** The gateways to which a connection is open. */
  get openPeers(): OpenPeer[] {
    return [...this.outgoing.values()]
      .filter(({ isOpen }) => isOpen)
      .map(({ address, zone }) => ({ address, zone }));
  }

  /** Whether a message of the gateway at `address` arrived within `windowMs`. */
  hasHeardFrom(address: string, windowMs: number): boolean {
    const peer = this.outgoing.get(address);
    return peer !== undefined && this.clock.now() - peer.lastReceivedAtMs <= windowMs;
  }

  /** Starts to accept connections. */
  listen(host: string, port: number): void {
    this.listener.listen(port, host);
  }

  /** Connects to the seeds. */
  start(): void {
    this.addAddresses(this.seeds);
  }

  /** Sends `message` to every connected peer. */
  broadcast(message: PeerMessage): void {
    for (const { channel, isOpen } of this.outgoing.values()) {
      if (isOpen) {
        channel?.send(message);
      }
    }
  }

  /** Sends `message` to the peer at `address`; returns false if no connection to it is open. */
  sendTo(address: string, message: PeerMessage): boolean {
    const peer = this.outgoing.get(address);
    if (peer === undefined || !peer.isOpen) {
      return false;
    }
    peer.channel?.send(message);
    return true;
  }

  /**
   * Opens a new connection to each peer from which nothing arrived for `silenceThresholdMs`; once
   * open, it replaces the previous one. A connection may stop carrying data for good without a
   * reset, and since peers send on their own connections, this process cannot detect it on the one
   * that it opened. The hello on the new one makes the peer reopen its own. A peer that is cut off
   * only briefly keeps its connection.
   */
  reconnectSilentPeers(silenceThresholdMs: number): void {
    this.silenceThresholdMs = silenceThresholdMs;
    const nowMs = this.clock.now();
    for (const peer of this.outgoing.values()) {
      if (peer.isOpen && nowMs - peer.lastActiveAtMs > silenceThresholdMs) {
        peer.lastActiveAtMs = nowMs;
        this.open(peer);
      }
    }
  }

  /** Stops listening and closes every connection that this process opened. */
  stop(): void {
    this.isStopped = true;
    this.listener.close();
    for (const { channel } of this.outgoing.values()) {
      channel?.flush();
      channel?.close();
    }
  }

  /** Adds addresses that are new and connects to them; skips malformed ones. */
  addAddresses(addresses: readonly string[]): void {
    for (const address of addresses) {
      const isNew = address !== this.self.address && !this.outgoing.has(address);
      if (!isNew || !this.network.isAddress(address)) {
        continue;
      }
      this.allAddresses.add(address);
      this.outgoing.set(address, {
        address,
        zone: undefined,
        channel: undefined,
        isSelected: false,
        isOpen: false,
        failures: 0,
        lastActiveAtMs: -Infinity,
        openedAtMs: -Infinity,
        lastReceivedAtMs: this.clock.now(),
        retryTimer: undefined,
      });
      this.announceAddress(address);
    }
    this.openUpToLimit();
  }

  /** Broadcasts a new address, batched with those added within `addressBatchMs`. */
  private announceAddress(address: string): void {
    if (this.unannouncedAddresses.length === 0) {
      this.clock.setTimeout(() => {
        this.broadcast({ kind: 'addresses', addresses: this.unannouncedAddresses });
        this.unannouncedAddresses = [];
      }, this.options.addressBatchMs);
    }
    this.unannouncedAddresses.push(address);
  }

  /** Opens connections up to `maxConnections`, to the addresses with the fewest failures first. */
  private openUpToLimit(): void {
    const peers = [...this.outgoing.values()];
    const idle = peers.filter(({ isSelected }) => !isSelected);
    const free = this.options.maxConnections - (peers.length - idle.length);
    idle.sort((left, right) => left.failures - right.failures);
    for (const peer of idle.slice(0, Math.max(0, free))) {
      peer.isSelected = true;
      this.openWithBackoff(peer);
    }
  }

  private openWithBackoff(peer: OutgoingPeer): void {
    if (peer.failures === 0) {
      this.open(peer);
      return;
    }
    const { retryMinMs, retryMaxMs } = this.options;
    const delayMs = Math.min(retryMaxMs, retryMinMs * 2 ** (peer.failures - 1));
    const jitteredMs = withJitter(this.random, delayMs, RETRY_JITTER);
    peer.retryTimer = this.clock.setTimeout(() => this.open(peer), jitteredMs);
  }

  /**
   * Reconnects at once, without waiting for the backoff, to a peer that sent a hello: if the
   * next connection to it is scheduled, or if it receives nothing on one that opened at least
   * `MIN_CONNECTION_AGE_MS` ago.
   */
  private reopenAfterHello({ address, hearsNothing }: PeerHello): void {
    const peer = this.outgoing.get(address);
    if (peer === undefined) {
      return;
    }
    const nowMs = this.clock.now();
    const isStalled = hearsNothing === true && nowMs - peer.openedAtMs >= MIN_CONNECTION_AGE_MS;
    if (peer.retryTimer !== undefined || (peer.isOpen && isStalled)) {
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
      onMessage: (message) => this.handlers.onReply(message, (reply) => channel.send(reply)),
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
      this.activate(peer, channel);
    });
  }

  /** Makes `channel` the connection to `peer` and closes the previous one, if any. */
  private activate(peer: OutgoingPeer, channel: MessageChannel<PeerMessage, PeerMessage>): void {
    const previous = peer.channel;
    peer.channel = channel;
    if (previous !== channel) {
      previous?.close();
    }
    this.sendHello(peer, channel);
  }

  private sendHello(peer: OutgoingPeer, channel: MessageChannel<PeerMessage, PeerMessage>): void {
    const nowMs = this.clock.now();
    peer.isOpen = true;
    this.openPeersGeneration += 1;
    peer.failures = 0;
    peer.lastActiveAtMs = nowMs;
    peer.openedAtMs = nowMs;
    const isPeerSilent = nowMs - peer.lastReceivedAtMs > this.silenceThresholdMs;
    channel.send(isPeerSilent ? { ...this.self, hearsNothing: isPeerSilent } : this.self);
    channel.send({ kind: 'addresses', addresses: [this.self.address, ...this.outgoing.keys()] });
    this.handlers.onOpened((message) => channel.send(message));
  }

  private closeOutgoing(peer: OutgoingPeer): void {
    peer.isOpen = false;
    this.openPeersGeneration += 1;
    peer.isSelected = false;
    peer.failures += 1;
    if (peer.failures > this.options.maxFailures && !this.seeds.includes(peer.address)) {
      this.outgoing.delete(peer.address);
    }
    this.openUpToLimit();
  }

  private accept(socket: MessageSocket): void {
    let hello: PeerHello | undefined;
    const channel = new MessageChannel<PeerMessage, PeerMessage>(socket, {
      onMessage: (message) => {
        if (message.kind === 'hello') {
          hello = message;
          this.handleHello(message);
        } else if (hello !== undefined) {
          this.handleMessage(hello, message, (reply) => channel.send(reply));
        }
      },
      onClose: () => undefined,
    });
  }

  private handleHello(hello: PeerHello): void {
    if (hello.role === 'replica') {
      return;
    }
    const previous = this.incarnations.get(hello.name);
    if (previous !== undefined && previous !== hello.incarnation) {
      this.handlers.onPeerChange(previous, false);
    }
    this.hasReceivedHello = true;
    this.incarnations.set(hello.name, hello.incarnation);
    this.handlers.onPeerChange(hello.incarnation, true);
    this.addAddresses([hello.address]);
    this.noteZone(hello);
    this.reopenAfterHello(hello);
  }

  private noteZone({ address, zone }: PeerHello): void {
    const peer = this.outgoing.get(address);
    if (peer !== undefined && peer.zone !== zone) {
      peer.zone = zone;
      this.openPeersGeneration += 1;
    }
  }

  private handleMessage(hello: PeerHello, message: PeerMessage, reply: SendToPeer): void {
    const peer = this.outgoing.get(hello.address);
    if (peer !== undefined) {
      peer.lastActiveAtMs = this.clock.now();
      peer.lastReceivedAtMs = peer.lastActiveAtMs;
    }
    if (message.kind === 'addresses') {
      this.addAddresses(message.addresses);
      return;
    }
    if (message.kind === 'leaving' && this.incarnations.get(hello.name) === hello.incarnation) {
      this.incarnations.delete(hello.name);
      this.handlers.onPeerChange(hello.incarnation, false);
    }
    this.handlers.onMessage(hello, message, reply);
  }
}
