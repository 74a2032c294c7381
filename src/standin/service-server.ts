/** Fake plain service over HTTP: responds after a delay, records requests and idempotency keys. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { serviceResponse } from './response-text.js';
import { readText, writeJson } from './http-json.js';

const HTTP_OK = 200;

/** Creates the HTTP server of a fake service that responds after `latencyMs`. */
export function createServiceServer(latencyMs: number): Server {
  const executedKeys: string[] = [];
  const receivedRequests: Array<{ id: string }> = [];
  return createServer((request, response) => {
    void (async () => {
      const body = await readText(request);
      if (request.url === '/handed') {
        writeJson(response, HTTP_OK, { handed: receivedRequests, keysRun: executedKeys });
        return;
      }
      receivedRequests.push({ id: String(request.headers['x-request-id']) });
      const key = request.headers['idempotency-key'];
      if (typeof key === 'string') {
        executedKeys.push(key);
      }
      setTimeout(() => {
        response.writeHead(HTTP_OK, { 'content-type': 'application/json' });
        response.end(serviceResponse(request.url ?? '/', body));
      }, latencyMs);
    })();
  });
}
