/** Reading and writing JSON over HTTP in the stand-ins. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** The whole body of a request as text. */
export async function readText(request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of request) {
    parts.push(part as Buffer);
  }
  return Buffer.concat(parts).toString('utf8');
}

/** Answers with JSON. */
export function writeJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}
