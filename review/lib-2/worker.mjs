// Stand-in of a worker, as PROTOCOL.md and LETTERS.md describe it: it answers 421 to a request for
// another instance, seals its answers, and keeps its entry in the store.
import { createServer } from 'node:http';

export class Worker {
  /** `answer(request, body, response, worker)` writes the answer of a request that it runs. */
  constructor({ name, service, zone, slots = 6, version = 'v1', store, onRun, answer }) {
    Object.assign(this, { name, service, zone, slots, version, store, onRun, answer });
    this.state = 'ready';
    this.sequence = 0;
    this.born = Date.now();
    this.running = 0;
    this.extraHeaders = {};
    this.server = this.createServer();
  }

  createServer() {
    const server = createServer((request, response) => void this.serve(request, response));
    server.keepAliveTimeout = 15_000;
    return server;
  }

  async listen(host, port) {
    this.address = `${host}:${port}`;
    await new Promise((resolve) => this.server.listen(port, host, resolve));
  }

  entry() {
    const { service, address, zone, version, slots, state, sequence, born } = this;
    return { service, address, zone, version, slots, state, coldRemainingMs: 0, sequence, born };
  }

  /** Writes its entry now and about every `heartbeatMs`. */
  announce(heartbeatMs = 1200) {
    const write = () => {
      this.sequence += 1;
      this.store.put(`servers/${this.name}`, this.entry());
    };
    write();
    this.timer = setInterval(write, heartbeatMs);
  }

  /** Stops writing its entry. */
  silence() {
    clearInterval(this.timer);
  }

  /** Crashes: its connections and its port are gone, and nothing is said. */
  crash() {
    this.silence();
    this.isEnded = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Starts again at its address, under the id that it had. */
  async startAgain() {
    const [host, port] = this.address.split(':');
    this.server = this.createServer();
    this.isEnded = false;
    this.born = Date.now();
    this.sequence = 0;
    this.running = 0;
    await this.listen(host, Number(port));
    this.announce();
  }

  /** Ends like a process: its connections are reset. */
  end() {
    this.silence();
    this.isEnded = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  headers(request) {
    return {
      'X-Weirvale-Attempt-Id': request.headers['x-weirvale-attempt-id'] ?? '',
      'X-Weirvale-Instance-Id': this.name,
      'X-Weirvale-Server-Seal': `${this.name}.seal`,
      ...this.extraHeaders,
    };
  }

  async serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    if (request.url === '/health') {
      response.writeHead(this.state === 'ready' ? 200 : 503, {
        'X-Weirvale-Instance-Id': this.name,
        'Content-Length': 0,
      });
      response.end();
      return;
    }
    if (request.url === '/-/report') {
      const { born, running } = this;
      const body = JSON.stringify({ stage: 'unified', waiting: 0, running, born });
      response.writeHead(200, { 'Content-Type': 'application/json' });
      response.end(body);
      return;
    }
    const expected = request.headers['x-weirvale-expect-instance'];
    if (expected !== undefined && expected !== this.name) {
      response.writeHead(421, { ...this.headers(request), 'Content-Length': 0 });
      response.end();
      return;
    }
    this.running += 1;
    response.on('close', () => (this.running -= 1));
    this.onRun?.({
      worker: this.name,
      id: request.headers['x-weirvale-attempt-id'],
      atMs: Date.now(),
    });
    await this.answer(request, Buffer.concat(chunks), response, this);
  }
}
