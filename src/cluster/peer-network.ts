/**
 * Interface to the network between processes, so that tests can replace TCP by a virtual network.
 */
import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { isAddress } from '../address.js';
import type { MessageSocket } from '../protocol/message-channel.js';

/** Accepts connections from other processes. */
export interface PeerListener {
  listen(port: number, host: string): void;
  /** Stops accepting connections. */
  close(): void;
}

/** A connection that this process opens; emits `connect` once it is established. */
export interface OutgoingSocket extends MessageSocket {
  once(event: 'connect', listener: () => void): unknown;
}

/** Opens and accepts connections. */
export interface PeerNetwork {
  /** Whether a text names an address of this network, IP:PORT. */
  isAddress(text: unknown): text is string;
  connect(port: number, host: string): OutgoingSocket;
  /**
   * Creates a listener. If listening fails, no error is raised: peers just cannot connect to this
   * process.
   */
  createListener(onConnection: (socket: MessageSocket) => void): PeerListener;
}

/** The operating system's TCP. */
export const TCP_PEER_NETWORK: PeerNetwork = {
  isAddress: (text): text is string => typeof text === 'string' && isAddress(text),
  connect: (port, host) => connect(port, host),
  createListener: (onConnection) => {
    const server = createServer((socket: Socket) => onConnection(socket));
    server.on('error', () => undefined);
    return server;
  },
};
