// Stand-in of the platform's store, as PROTOCOL.md describes it: kv-key, kv-range, kv-watch, kv-txn.
import { createServer } from 'node:http';

export class Store {
  constructor() {
    this.items = new Map();
    this.history = [];
    this.revision = 0;
    this.watches = new Set();
    /** The number of copies that it came back from; 0 sends no header. */
    this.era = 0;
    this.isAway = false;
    this.server = createServer((request, response) => this.serve(request, response));
  }

  listen(host, port) {
    return new Promise((resolve) => this.server.listen(port, host, resolve));
  }

  /** Writes of the operator and of the workers; acknowledged when this returns. */
  put(key, value) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.revision += 1;
    const made = this.items.get(key)?.made ?? this.revision;
    const item = {
      key,
      value: Buffer.from(text).toString('base64'),
      revision: this.revision,
      made,
      lease: 0,
    };
    this.items.set(key, item);
    this.record(item);
    return this.revision;
  }

  remove(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.record({ key, revision: this.revision, gone: true });
    }
  }

  get(key) {
    const item = this.items.get(key);
    return item && Buffer.from(item.value, 'base64').toString();
  }

  /** Returns a copy to come back from. */
  copy() {
    return { items: new Map(this.items), revision: this.revision };
  }

  /** The store is away from now on: it resets what is open and answers nothing. */
  goAway() {
    this.isAway = true;
    this.server.closeAllConnections();
  }

  /** The store is back from a copy: what was written since is gone, and revisions go back. */
  comeBackFrom({ items, revision }) {
    this.items = new Map(items);
    this.history = [];
    this.firstRevision = revision;
    this.revision = revision;
    this.era += 1;
    this.isAway = false;
  }

  record(event) {
    this.history.push(event);
    for (const watch of [...this.watches]) {
      watch();
    }
  }

  async serve(request, response) {
    if (this.isAway) {
      request.socket.destroy();
      return;
    }
    const { era } = this;
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const answer = (status, body) => {
      const text = JSON.stringify(body);
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(text),
        ...(era > 0 && { 'Store-Era': `${era}` }),
      });
      response.end(text);
    };
    const prefix = url.searchParams.get('pathPrefix') ?? '';
    if (url.pathname === '/-/kv-key') {
      const item = this.items.get(url.searchParams.get('key'));
      answer(item ? 200 : 404, item ? { ...item, at: this.revision } : {});
    } else if (url.pathname === '/-/kv-range') {
      const after = url.searchParams.get('afterRevision');
      const all = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && (after === null || key > after))
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      answer(200, { items: all.slice(0, 500), more: all.length > 500, at: this.revision });
    } else if (url.pathname === '/-/kv-watch') {
      this.watch(
        prefix,
        Number(url.searchParams.get('afterRevision')),
        Number(url.searchParams.get('waitMs')),
        response,
        answer,
      );
    } else if (url.pathname === '/-/kv-txn') {
      const body = JSON.parse(Buffer.concat(chunks).toString());
      const failed = body.expectedRevision.some(
        ({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision,
      );
      if (failed) {
        const items = body.expectedRevision.flatMap(({ key }) => this.items.get(key) ?? []);
        answer(412, { items });
        return;
      }
      for (const { key, value } of body.put ?? []) {
        this.put(key, Buffer.from(value, 'base64').toString());
      }
      for (const key of body.remove ?? []) {
        this.remove(key);
      }
      answer(200, { revision: this.revision });
    } else {
      answer(404, {});
    }
  }

  watch(prefix, after, waitMs, response, answer) {
    if (after > this.revision || after < (this.firstRevision ?? 0)) {
      answer(410, {});
      return;
    }
    const found = () =>
      this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const finish = () => {
      clearTimeout(timer);
      this.watches.delete(check);
      answer(200, { events: found(), at: this.revision });
    };
    const check = () => found().length > 0 && finish();
    const timer = setTimeout(finish, Math.min(waitMs, 30_000));
    this.watches.add(check);
    response.on('close', () => {
      clearTimeout(timer);
      this.watches.delete(check);
    });
    check();
  }
}
