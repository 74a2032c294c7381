/** Clients that keep their connections, and what they sent and received. */
import { Agent, request as httpRequest } from 'node:http';

let lastId = 0;
const RUN = Math.floor(Math.random() * 2 ** 32).toString(16);

/** Returns an id that no other request carries. */
export function newId() {
  lastId += 1;
  return `${RUN}-${lastId}`;
}

/** A client with one connection to one gateway. */
export class Client {
  constructor(host, port) {
    Object.assign(this, { host, port });
    this.agent = new Agent({ keepAlive: true, maxSockets: 1, timeout: 60_000 });
  }

  close() {
    this.agent.destroy();
  }

  /**
   * Sends a request and resolves with what came back: `status` (0 for a connection that ended
   * without an answer), `headers`, `body`, `isWhole`, `isKept` (whether the connection had served a
   * request before), `sentAtMs` and `endedAtMs`.
   */
  send({ method = 'POST', path, deadlineMs, headers = {}, body = '' }) {
    const id = headers['X-Weirvale-Attempt-Id'] ?? newId();
    const sent = { id, gateway: this.host, path, sentAtMs: performance.now() };
    return new Promise((resolve) => {
      const request = httpRequest({
        host: this.host,
        port: this.port,
        method,
        path,
        agent: this.agent,
        headers: {
          Host: 'review.example',
          'X-Weirvale-Attempt-Id': id,
          'X-Weirvale-Deadline-Ms': String(deadlineMs),
          'Content-Length': Buffer.byteLength(body),
          ...headers,
        },
      });
      const chunks = [];
      let answer = { status: 0, headers: {}, isWhole: false };
      const finish = (error) =>
        resolve({
          ...sent,
          ...answer,
          isKept: request.reusedSocket,
          body: Buffer.concat(chunks).toString('latin1'),
          error: error?.code ?? error?.message,
          endedAtMs: performance.now(),
        });
      request.on('error', finish);
      request.on('response', (response) => {
        answer = { status: response.statusCode, headers: response.headers, isWhole: false };
        response.on('data', (bytes) => chunks.push(bytes));
        response.on('error', finish);
        response.on('end', () => {
          answer.isWhole = response.complete;
          finish();
        });
      });
      request.end(body);
    });
  }
}
