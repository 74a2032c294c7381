/** Starts listeners. */
import type { Server } from 'node:net';
import type { AddressInfo } from 'node:net';
import { WeirvaleError } from '../request/errors.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';

/** A listener could not be started, for example because its port is in use. */
export class ListenError extends WeirvaleError {
  readonly code = 'listen-failed';
}

/** Starts `server` and returns its port; if `port` is 0, the operating system assigns one. */
export function listen(
  server: Server,
  address: string,
  port: number,
): Promise<Result<number, ListenError>> {
  return new Promise((resolve) => {
    server.once('error', (cause) => {
      resolve(err(new ListenError(`cannot listen on ${address}:${port}: ${cause.message}`)));
    });
    server.listen(port, address, () => {
      resolve(ok((server.address() as AddressInfo).port));
    });
  });
}
