/** A gateway process on a small machine, with a store and a backend. */
import type { ServerResponse } from 'node:http';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import { CrowdedProcess, MACHINE } from './crowded-process.js';
import type { ClientTarget } from './client-crowd.js';
import { FakeBackend, FakeStore } from './fake-platform.js';
import type { ReceivedRequest } from './fake-platform.js';
import { GatewayProcess } from './gateway-process.js';

/** Limits of the configuration. */
export const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 2 * 1024 * 1024,
  headerTimeoutMs: 20_000,
  idleTimeoutMs: 30_000,
} as const;

/** Path whose requests the backend answers at once. */
export const ORDINARY_PATH = '/a/ordinary';
/** Path whose requests the backend never answers. */
export const HELD_PATH = '/a/held';
/** Path whose requests the backend answers with a large body. */
export const LARGE_PATH = '/a/large';

const HTTP_OK = 200;
const ORDINARY_BODY = 'ordinary';
const LARGE_BODY = Buffer.alloc(1024 * 1024, 'x');

/** A gateway process and its backend. */
export interface CrowdedGateway {
  readonly target: ClientTarget;
  readonly backend: FakeBackend;
  readonly process: CrowdedProcess;
}

/** Starts a gateway that is ended after the test. */
export async function startCrowdedGateway(
  t: ExecutionContext,
  host: string,
): Promise<CrowdedGateway> {
  const store = new FakeStore();
  const backend = new FakeBackend('w', respond);
  store.announce('w', { address: await backend.start(), slots: 8 });
  store.put('op/config', configuration());
  const gateway = await GatewayProcess.start(host, await store.start(), {
    runtimeArguments: [`--max-old-space-size=${MACHINE.heapMib}`],
    settings: ['[limits]', `memoryMb = ${MACHINE.memoryMib}`, `maxFds = ${MACHINE.descriptors}`],
  });
  t.teardown(() => {
    gateway.child.kill('SIGKILL');
    backend.stop();
    store.stop();
  });
  const target = { host: gateway.host, port: gateway.port };
  const process = new CrowdedProcess(gateway.child, target, (signal) =>
    servesOrdinaryRequest(target, signal),
  );
  return { target, backend, process };
}

function respond({ path }: ReceivedRequest, response: ServerResponse): void {
  if (path === HELD_PATH) {
    return;
  }
  response.writeHead(HTTP_OK, { 'X-Weirvale-Server-Seal': 'seal' });
  response.end(path === LARGE_PATH ? LARGE_BODY : ORDINARY_BODY);
}

function configuration(): object {
  const route = { name: 'r', host: 'h', pathPrefix: '/a/', kind: 'safe', service: 's' };
  return {
    version: 1,
    routes: [{ ...route, timeoutMs: 60_000, targetLatencyMs: 30_000, maxAttempts: 1 }],
    services: [{ name: 's', maxConnections: 100 }],
    tenants: [{ name: 'shop', apiKeys: ['key'] }],
    limits: LIMITS,
  };
}

async function servesOrdinaryRequest(
  { host, port }: ClientTarget,
  signal: AbortSignal,
): Promise<boolean> {
  const { statusCode, body } = await request(`http://${host}:${port}${ORDINARY_PATH}`, {
    headers: { host: 'h', authorization: 'Bearer key', 'x-weirvale-attempt-id': 'ordinary' },
    reset: true,
    signal,
  });
  const text = await body.text();
  return statusCode === HTTP_OK && text === ORDINARY_BODY;
}
