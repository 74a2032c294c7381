/** Stand-in plain service over HTTP: answers each call after a while and counts what it ran. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { serviceAnswer } from './answer-text.js';
import { readText, writeJson } from './json-body.js';

const HTTP_OK = 200;

/** Creates a stand-in service whose calls take `latencyMs`. */
export function createServiceServer(latencyMs: number): Server {
  const keysRun: string[] = [];
  const handed: Array<{ id: string }> = [];
  return createServer((request, response) => {
    void (async () => {
      const body = await readText(request);
      if (request.url === '/handed') {
        writeJson(response, HTTP_OK, { handed, keysRun });
        return;
      }
      handed.push({ id: String(request.headers['x-request-id']) });
      const key = request.headers['idempotency-key'];
      if (typeof key === 'string') {
        keysRun.push(key);
      }
      setTimeout(() => {
        response.writeHead(HTTP_OK, { 'content-type': 'application/json' });
        response.end(serviceAnswer(request.url ?? '/', body));
      }, latencyMs);
    })();
  });
}
