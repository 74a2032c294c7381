import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

interface Item {
  readonly key: string;
  readonly revision: number;
  readonly value?: string;
  readonly gone?: boolean;
}

interface Transaction {
  readonly expectedRevision: ReadonlyArray<{ key: string; revision: number }>;
  readonly put: ReadonlyArray<{ key: string; value: string }>;
}

interface Write {
  readonly item: Item;
  readonly atMs: number;
  readonly epoch: number | undefined;
}

/** What a copy lacks or holds in an older state: the value of before, in base64; undefined for a key that was removed. */
export interface LostItem {
  readonly key: string;
  readonly value: string | undefined;
}

/** Keys of operators and back ends. */
const OWNERS_KEYS = /^(op|servers)\//;

/** What the store does with calls. */
export type StoreMood = 'answers' | 'refuses' | 'silent' | 'resets';

const PAGE_ITEMS = 3;

/** A stand-in of the platform's store: listings in pages, watches, history that can be forgotten. */
export class StandinStore {
  mood: StoreMood = 'answers';
  /** What the header of its answers names; rises when it comes back from a copy. Undefined for no such header. */
  epoch: number | undefined;
  readonly calls: string[] = [];
  /** Called for each call before it is answered. */
  onCall: (() => void) | undefined;
  private revision = 0;
  private oldestHistory = 0;
  private readonly items = new Map<string, Item>();
  private history: Item[] = [];
  private writes: Write[] = [];
  private readonly watches = new Set<() => void>();
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor() {
    this.server = createServer((request, response) => this.answer(request, response));
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.cutAll();
    this.server.close();
  }

  put(key: string, value: unknown): void {
    this.putBytes(key, Buffer.from(JSON.stringify(value)));
  }

  /** Anything that anybody may write. */
  putBytes(key: string, bytes: Buffer): void {
    this.revision += 1;
    this.record({ key, revision: this.revision, value: bytes.toString('base64') });
  }

  /** A back end announces itself; what `fields` leaves out is as usual. */
  announce(
    id: string,
    fields: { readonly address: string; readonly [field: string]: unknown },
  ): void {
    this.put(`servers/${id}`, {
      service: 's',
      zone: 'z',
      version: 'v1',
      slots: 2,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      ...fields,
    });
  }

  /** The value of a key, read as JSON; undefined where there is none. */
  read(key: string): unknown {
    const value = this.items.get(key)?.value;
    return value === undefined ? undefined : JSON.parse(Buffer.from(value, 'base64').toString());
  }

  remove(key: string): void {
    this.revision += 1;
    this.record({ key, revision: this.revision, gone: true });
  }

  /**
   * Comes back as it was `copyAgeMs` ago: what was written since is gone, and its revisions are given out again. What
   * waits is cut.
   *
   * @returns what is gone, for its owners to write again
   */
  restore(copyAgeMs: number): LostItem[] {
    const copyAtMs = performance.now() - copyAgeMs;
    const before = new Map(this.items);
    this.writes = this.writes.filter(({ atMs }) => atMs <= copyAtMs);
    this.items.clear();
    this.revision = 0;
    for (const { item } of this.writes) {
      this.revision = item.revision;
      this.keep(item);
    }
    this.history = this.history.filter(({ revision }) => revision <= this.revision);
    this.epoch = (this.epoch ?? 0) + 1;
    this.cutAll();
    const keys = new Set([...before.keys(), ...this.items.keys()]);
    return [...keys]
      .filter((key) => before.get(key) !== this.items.get(key))
      .map((key) => ({ key, value: before.get(key)?.value }));
  }

  /** Operators and back ends write again what is theirs, but for keys that were written since. */
  writeAgain(lost: readonly LostItem[]): void {
    for (const { key, value } of lost) {
      const isWritten = this.writes.some(
        ({ item, epoch }) => item.key === key && epoch === this.epoch,
      );
      if (isWritten || !OWNERS_KEYS.test(key)) {
        continue;
      }
      if (value === undefined) {
        this.remove(key);
      } else {
        this.putBytes(key, Buffer.from(value, 'base64'));
      }
    }
  }

  /** Drops the history and cuts every connection. */
  forgetHistory(): void {
    this.history = [];
    this.oldestHistory = this.revision;
    this.cutAll();
  }

  cutAll(): void {
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
  }

  private record(item: Item): void {
    this.history.push(item);
    this.writes.push({ item, atMs: performance.now(), epoch: this.epoch });
    this.keep(item);
    for (const wake of [...this.watches]) {
      wake();
    }
  }

  private keep(item: Item): void {
    if (item.gone === true) {
      this.items.delete(item.key);
    } else {
      this.items.set(item.key, item);
    }
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? '/', 'http://store');
    this.calls.push(url.pathname);
    this.onCall?.();
    if (this.epoch !== undefined) {
      response.setHeader('Store-Era', `${this.epoch}`);
    }
    if (this.mood === 'silent') {
      return;
    }
    if (this.mood === 'resets') {
      request.socket.resetAndDestroy();
      return;
    }
    if (this.mood === 'refuses') {
      reply(response, 503, { error: 'busy' });
      return;
    }
    if (url.pathname === '/-/kv-range') {
      this.answerRange(url, response);
    } else if (url.pathname === '/-/kv-watch') {
      this.answerWatch(url, response);
    } else if (url.pathname === '/-/kv-txn') {
      void this.answerTransaction(request, response);
    } else {
      reply(response, 404, {});
    }
  }

  private answerRange(url: URL, response: ServerResponse): void {
    const after = url.searchParams.get('afterRevision') ?? '';
    const prefix = url.searchParams.get('pathPrefix') ?? '';
    const rest = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const items = rest.slice(0, PAGE_ITEMS);
    reply(response, 200, { items, more: rest.length > PAGE_ITEMS, at: this.revision });
  }

  private async answerTransaction(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const bytes of request) {
      chunks.push(bytes as Buffer);
    }
    const transaction = JSON.parse(Buffer.concat(chunks).toString()) as Transaction;
    const isAsExpected = transaction.expectedRevision.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isAsExpected) {
      reply(response, 412, {});
      return;
    }
    this.revision += 1;
    for (const { key, value } of transaction.put) {
      this.record({ key, revision: this.revision, value });
    }
    reply(response, 200, { revision: this.revision });
  }

  private answerWatch(url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get('afterRevision'));
    if (after < this.oldestHistory || after > this.revision) {
      reply(response, 410, {});
      return;
    }
    const end = () => {
      if (this.mood === 'silent') {
        // What a silent store would have answered is lost.
        this.watches.delete(end);
        clearTimeout(timer);
        return;
      }
      const events = this.history.filter(({ revision }) => revision > after);
      if (events.length > 0 || !this.watches.has(end)) {
        this.watches.delete(end);
        clearTimeout(timer);
        reply(response, 200, { events, at: this.revision });
      }
    };
    const timer = setTimeout(
      () => {
        this.watches.delete(end);
        end();
      },
      Number(url.searchParams.get('waitMs')),
    );
    response.on('close', () => {
      this.watches.delete(end);
      clearTimeout(timer);
    });
    this.watches.add(end);
    if (this.history.some(({ revision }) => revision > after)) {
      end();
    }
  }
}

function reply(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** A request as a stand-in worker received it. */
export interface WorkerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** A stand-in worker: answers as its handler says and keeps what it received. */
export class StandinWorker {
  readonly received: WorkerRequest[] = [];
  /** Where it listens, IP:PORT; empty before its start. */
  address = '';
  private readonly sockets = new Set<Socket>();
  readonly server: Server;

  constructor(
    readonly id: string,
    handler: (request: WorkerRequest, response: ServerResponse) => void,
  ) {
    this.server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (bytes: Buffer) => chunks.push(bytes));
      request.on('end', () => {
        const { method = '', url = '', headers } = request;
        const seen = { method, path: url, headers, body: Buffer.concat(chunks).toString() };
        this.received.push(seen);
        const requestId = headers['x-weirvale-attempt-id'];
        if (requestId !== undefined) {
          response.setHeader('X-Weirvale-Attempt-Id', requestId);
        }
        if (headers['x-weirvale-expect-instance'] !== id) {
          response.writeHead(421);
          response.end();
          return;
        }
        handler(seen, response);
      });
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Listens at `address`, or at a port that the system chooses. */
  async start(address = '127.0.0.1:0'): Promise<string> {
    const [host, port] = address.split(':');
    await new Promise<void>((resolve) => this.server.listen(Number(port), host, resolve));
    this.address = `${host}:${(this.server.address() as AddressInfo).port}`;
    return this.address;
  }

  /** Ends at once: every connection is reset, and nothing listens any more. */
  crash(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}
