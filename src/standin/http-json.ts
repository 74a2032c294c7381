/** HTTP helpers: reading request bodies and writing JSON responses. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Reads the complete request body as UTF-8 text. */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON response. */
export function writeJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}
