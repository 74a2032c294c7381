/** Connected sockets of the test process. */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** Both ends of a connection. */
export interface SocketPair {
  readonly near: Socket;
  readonly far: Socket;
  close(): void;
}

/** Returns both ends of a new connection. */
export async function connectPair(): Promise<SocketPair> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const far = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [near] = (await once(server, 'connection')) as [Socket];
  server.close();
  return {
    near,
    far,
    close: () => {
      near.destroy();
      far.destroy();
    },
  };
}
