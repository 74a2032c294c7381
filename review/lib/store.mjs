/** A stand-in of the platform's metadata store, as PROTOCOL.md tells it. */
import { createServer } from 'node:http';

const PAGE_ITEMS = 500;
const FORBIDDEN = /^(op|servers)\//;

function send(response, status, body) {
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': bytes.length,
  });
  response.end(bytes);
}

/** The store. `mode` is `up`, `silent`, `busy` or `reset`, as the kinds of `platform_down` are. */
export class Store {
  mode = 'up';
  revision = 0;
  items = new Map();
  events = [];
  waiting = new Set();
  sockets = new Set();

  constructor() {
    this.server = createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  listen(host, port) {
    return new Promise((resolve) => this.server.listen(port, host, resolve));
  }

  close() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Writes a value for the operator or a worker; returns false while the store is away. */
  put(key, value) {
    if (this.mode !== 'up') {
      return false;
    }
    this.write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
    return true;
  }

  /** Removes a key, as the store does when a worker has left or was silent. */
  remove(key) {
    if (!this.items.delete(key)) {
      return;
    }
    this.revision += 1;
    this.announce({ key, revision: this.revision, gone: true });
  }

  /** Ends an outage. */
  comeBack() {
    this.mode = 'up';
  }

  write(key, value) {
    this.revision += 1;
    const made = this.items.get(key)?.made ?? this.revision;
    const item = { key, value, revision: this.revision, made, lease: 0 };
    this.items.set(key, item);
    this.announce(item);
  }

  announce(event) {
    this.events.push(event);
    for (const answer of [...this.waiting]) {
      answer();
    }
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (bytes) => chunks.push(bytes));
    request.on('end', () => this.answer(request, response, Buffer.concat(chunks)));
  }

  answer(request, response, body) {
    if (this.mode === 'silent') {
      return;
    }
    if (this.mode === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    if (this.mode === 'busy') {
      send(response, 503, { error: 'busy' });
      return;
    }
    const url = new URL(request.url, 'http://store');
    const call = `${request.method} ${url.pathname}`;
    if (call === 'GET /-/kv-range') {
      this.range(url.searchParams, response);
    } else if (call === 'GET /-/kv-watch') {
      this.watch(url.searchParams, response);
    } else if (call === 'POST /-/kv-txn') {
      this.transact(JSON.parse(body.toString()), response);
    } else {
      send(response, 404, { error: 'no such call' });
    }
  }

  range(query, response) {
    const prefix = query.get('pathPrefix') ?? '';
    const after = query.get('afterRevision') ?? '';
    const found = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const items = found.slice(0, PAGE_ITEMS);
    send(response, 200, { items, more: found.length > PAGE_ITEMS, at: this.revision });
  }

  watch(query, response) {
    const prefix = query.get('pathPrefix') ?? '';
    const after = Number(query.get('afterRevision'));
    const found = () =>
      this.events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(answer);
      if (this.mode === 'up' && !response.destroyed) {
        send(response, 200, { events: found(), at: this.revision });
      }
    };
    const answer = () => found().length > 0 && finish();
    const timer = setTimeout(finish, Number(query.get('waitMs') ?? 0));
    this.waiting.add(answer);
    response.on('close', () => {
      clearTimeout(timer);
      this.waiting.delete(answer);
    });
    answer();
  }

  transact({ expectedRevision = [], put = [], remove = [] }, response) {
    if ([...put.map(({ key }) => key), ...remove].some((key) => FORBIDDEN.test(key))) {
      send(response, 403, { error: 'not yours' });
      return;
    }
    const current = ({ key }) => this.items.get(key);
    if (expectedRevision.some((row) => (current(row)?.revision ?? 0) !== row.revision)) {
      send(response, 412, { items: expectedRevision.map(current).filter(Boolean) });
      return;
    }
    put.forEach(({ key, value }) => this.write(key, value));
    remove.forEach((key) => this.remove(key));
    send(response, 200, { revision: this.revision });
  }
}
