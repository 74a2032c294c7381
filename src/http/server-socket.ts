/** What Node's HTTP server does with the socket of a connection; relies on its internals. */
import { Socket } from 'node:net';

/** The field by which the server marks a connection that it does not read until responses drain. */
interface PausedSocket {
  readonly _paused?: boolean;
}

/** Whether the server has paused a connection whose responses are not taken. */
export function isPausedByServer(socket: Socket): boolean {
  return (socket as unknown as PausedSocket)._paused === true;
}

/**
 * Takes over what a connection reads from the server, which would parse it at once, and returns the
 * function by which the server parses it. Must be called before anything is read.
 */
export function takeInput(
  socket: Socket,
  onData: (bytes: Buffer) => void,
): (bytes: Buffer) => void {
  const [parse] = socket.listeners('data') as Array<(bytes: Buffer) => void>;
  socket.removeListener('data', parse!);
  socket.on('data', onData);
  return (bytes) => parse!.call(socket, bytes);
}

/**
 * Calls `mayResume` each time the server, or a request on the connection, is about to read from it
 * again; it goes on only if that returns true.
 */
export function guardResume(socket: Socket, mayResume: () => boolean): void {
  socket.resume = function resume(this: Socket): Socket {
    return mayResume() ? Socket.prototype.resume.call(this) : this;
  };
}
