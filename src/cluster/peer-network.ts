/** Connections to and from other processes, so that tests can put a virtual network in the place of TCP. */
import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';
import type { MessageSocket } from '../protocol/message-channel.js';

/** Takes connections of others. */
export interface PeerListener {
  /** Begins to listen. */
  listen(port: number, host: string): void;
  /** Takes no more connections. */
  close(): void;
}

/** A connection that this process opens; `connect` is emitted once it stands. */
export interface OpenedSocket extends MessageSocket {
  once(event: 'connect', listener: () => void): unknown;
}

/** Opens and takes connections. */
export interface PeerNetwork {
  /** Opens a connection. */
  connect(port: number, host: string): OpenedSocket;
  /** Prepares to take connections. A listener that cannot listen is silent: its process is not found by others. */
  createListener(onConnection: (socket: MessageSocket) => void): PeerListener;
}

/** The machine's TCP. */
export const TCP_PEER_NETWORK: PeerNetwork = {
  connect: (port, host) => connect(port, host),
  createListener: (onConnection) => {
    const server = createServer((socket: Socket) => onConnection(socket));
    server.on('error', () => undefined);
    return server;
  },
};
