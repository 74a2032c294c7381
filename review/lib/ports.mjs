/** Chooses loopback addresses and ports that nothing uses. */
import { createServer } from 'node:net';

/** Offsets of the ports from the base port; the same on every machine of a fleet. */
export const PORT_OFFSETS = { front: 1, ready: 2, control: 3, app: 4, store: 5, internal: 10 };

const INTERNAL_PORTS = 16;
/** Below the range from which the system takes the ports of outgoing connections. */
const LOWEST_BASE = 20_000;
const BASES = 10_000;
const TRIES = 50;

function canListen(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

function randomOctet() {
  return 50 + Math.floor(Math.random() * 200);
}

/** Returns the first three octets of a free network on loopback and a base port. */
export async function findFreeNetwork(hosts) {
  for (let tries = 0; tries < TRIES; tries += 1) {
    const network = `127.${randomOctet()}.${randomOctet()}`;
    const basePort = LOWEST_BASE + Math.floor(Math.random() * BASES);
    const { internal, ...single } = PORT_OFFSETS;
    const offsets = [...Object.values(single), internal, internal + 1];
    const checks = hosts.flatMap((host) =>
      offsets.map((offset) => canListen(`${network}.${host}`, basePort + offset)),
    );
    if ((await Promise.all(checks)).every(Boolean)) {
      return { network, basePort, lastInternal: basePort + internal + INTERNAL_PORTS - 1 };
    }
  }
  throw new Error('no free ports');
}
