/** A stand-in of a worker: plain service or engine, as PROTOCOL.md tells them. */
import { createServer } from 'node:net';

const HEAD_END = '\r\n\r\n';
const KEEP_ALIVE_S = 30;
/** Requests that wait at a worker whose slots are taken. */
const QUEUE_LENGTH = 24;

/** Reads requests one after the other from a connection. */
class RequestReader {
  pending = Buffer.alloc(0);

  /** Returns the next whole request; undefined while there is none. */
  push(bytes) {
    this.pending = Buffer.concat([this.pending, bytes]);
    const end = this.pending.indexOf(HEAD_END);
    if (end < 0) {
      return undefined;
    }
    const [first, ...lines] = this.pending.subarray(0, end).toString('latin1').split('\r\n');
    const headers = Object.fromEntries(
      lines.map((line) => {
        const colon = line.indexOf(':');
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
      }),
    );
    const bodyStart = end + HEAD_END.length;
    const bodyEnd = bodyStart + Number(headers['content-length'] ?? 0);
    if (this.pending.length < bodyEnd) {
      return undefined;
    }
    const [method, path] = first.split(' ');
    const body = this.pending.subarray(bodyStart, bodyEnd).toString();
    this.pending = this.pending.subarray(bodyEnd);
    return { method, path, headers, body };
  }
}

/** Returns the head of an answer. */
export function answerHead(status, headers) {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} ${status < 400 ? 'OK' : 'Failed'}\r\n${lines.join('')}\r\n`;
}

/** Returns one event of a stream. */
export function eventText(number, data) {
  return `id: ${number}\ndata: ${data}\n\n`;
}

/** One chunk of an answer without a length. */
export function chunk(text) {
  const bytes = Buffer.from(text, 'latin1');
  const head = `${bytes.length.toString(16)}\r\n`;
  return Buffer.concat([Buffer.from(head), bytes, Buffer.from('\r\n')]);
}

/**
 * A worker. Fields of `options`: `id`, `service`, `version`, `zone`, `host`, `port`, `slots`,
 * `workMs`, `events` and `eventMs` (of a stream), `onRun(run)`.
 *
 * Faults: `beforeRun({ id, socket, answered })` is called when a request begins to run; `answered`
 * is the number of answers on its connection so far. `spoil(request, { id, socket, worker })` is
 * called when its answer is due, and returns true if it answered itself.
 */
export class Worker {
  sockets = new Set();
  queue = [];
  running = 0;
  /** Number of its lives that have ended. */
  life = 0;
  born = 0;
  seals = 0;
  isUp = false;

  constructor(options) {
    Object.assign(this, { version: 'v1', state: 'ready', slots: 6, workMs: 20 }, options);
  }

  /** Starts a life of the worker. */
  async start() {
    this.born = Date.now();
    this.server = createServer((socket) => this.accept(socket));
    await new Promise((resolve) => this.server.listen(this.port, this.host, resolve));
    this.isUp = true;
  }

  /** Ends its life at once: its connections are reset, and its port is closed. */
  async crash() {
    this.isUp = false;
    this.life += 1;
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    this.queue = [];
    this.running = 0;
    await closed;
  }

  /** Its entry in the store. */
  entry(sequence) {
    const { service, zone, version, slots, state, born } = this;
    const address = `${this.host}:${this.port}`;
    return { service, address, zone, version, slots, state, coldRemainingMs: 0, sequence, born };
  }

  accept(socket) {
    const reader = new RequestReader();
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (bytes) => {
      const request = reader.push(bytes);
      if (request !== undefined) {
        this.serve(request, socket);
      }
    });
  }

  serve(request, socket) {
    const { headers, path } = request;
    const id = headers['x-weirvale-attempt-id'] ?? '';
    if (path === '/-/report') {
      const report = { stage: 'unified', models: [], busy: false, sequence: 0 };
      const body = JSON.stringify({
        ...report,
        waiting: this.queue.length,
        running: this.running,
        born: this.born,
      });
      this.reply(socket, 200, { 'Content-Type': 'application/json' }, body);
      return;
    }
    if (path === '/health') {
      this.reply(socket, 200, { 'X-Weirvale-Instance-Id': this.id }, '');
      return;
    }
    const expected = headers['x-weirvale-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.reply(socket, 421, { 'X-Weirvale-Attempt-Id': id }, '');
      return;
    }
    if (this.running < this.slots) {
      this.run(request, id, socket);
    } else if (this.queue.length < QUEUE_LENGTH) {
      this.queue.push({ request, id, socket });
    } else {
      const refusal = { 'X-Weirvale-Attempt-Id': id, 'X-Weirvale-Not-Executed': '1' };
      this.reply(socket, 503, refusal, '');
    }
  }

  /** Begins work on requests that wait, as slots are free. */
  serveQueue() {
    while (this.running < this.slots && this.queue.length > 0) {
      const { request, id, socket } = this.queue.shift();
      if (!socket.destroyed) {
        this.run(request, id, socket);
      }
    }
  }

  run(request, id, socket) {
    const { id: worker, version, born } = this;
    const { life } = this;
    this.running += 1;
    const run = { id, worker, version, born, path: request.path, atMs: performance.now() };
    run.from = request.headers['last-event-id'];
    this.beforeRun?.({ id, socket, answered: socket.answered ?? 0 });
    this.onRun?.(run);
    let isOver = false;
    const end = () => {
      if (isOver) {
        return;
      }
      isOver = true;
      socket.answered = (socket.answered ?? 0) + 1;
      socket.off('close', end);
      if (this.life === life) {
        this.running -= 1;
        this.serveQueue();
      }
    };
    socket.once('close', end);
    setTimeout(() => {
      if (socket.destroyed) {
        return;
      }
      if (this.spoil?.(request, { id, socket, worker: this }) === true) {
        end();
        return;
      }
      if (request.path.startsWith('/stream/')) {
        this.stream(Number(run.from ?? 0) + 1, id, socket, end);
        return;
      }
      end();
      this.reply(socket, 200, this.answerHeaders(id), `answer to ${id}`);
    }, this.workMs);
  }

  /** Headers of an answer of its own. */
  answerHeaders(id) {
    this.seals += 1;
    return {
      'X-Weirvale-Attempt-Id': id,
      'X-Weirvale-Server-Seal': `${this.id}.${this.seals}`,
      'Keep-Alive': `timeout=${KEEP_ALIVE_S}`,
    };
  }

  /** The head of a stream. */
  streamHead(id) {
    return answerHead(200, {
      ...this.answerHeaders(id),
      'Content-Type': 'text/event-stream',
      'Transfer-Encoding': 'chunked',
    });
  }

  stream(first, id, socket, end) {
    socket.write(this.streamHead(id));
    let next = first;
    const timer = setInterval(() => {
      if (socket.destroyed) {
        clearInterval(timer);
      } else if (next > this.events) {
        clearInterval(timer);
        socket.write('0\r\n\r\n');
        end();
      } else {
        socket.write(chunk(eventText(next, `${this.version} ${id}`)));
        next += 1;
      }
    }, this.eventMs);
  }

  reply(socket, status, headers, body) {
    const length = { 'Content-Length': Buffer.byteLength(body) };
    socket.write(answerHead(status, { ...headers, ...length }) + body);
  }
}
