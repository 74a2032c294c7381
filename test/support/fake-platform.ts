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

interface LoggedWrite {
  readonly item: Item;
  readonly atMs: number;
  readonly epoch: number | undefined;
}

/** A key that a restore changed, with its value before in base64; undefined if it was removed. */
export interface RevertedItem {
  readonly key: string;
  readonly value: string | undefined;
}

/** Keys that operators and backends write. */
const EXTERNAL_OWNER_KEYS = /^(op|servers)\//;

/** How the store handles calls: serves them, responds with 503, never responds, or resets them. */
export type StoreBehavior = 'answers' | 'refuses' | 'silent' | 'resets';

const PAGE_SIZE = 3;

/** Fake of the platform's store: paged listings, watches, and history that can be dropped. */
export class FakeStore {
  behavior: StoreBehavior = 'answers';
  /** Epoch in the response header; increases with each restore. Undefined sends no such header. */
  epoch: number | undefined;
  readonly calls: string[] = [];
  /** Runs on each call, before the response. */
  onCall: (() => void) | undefined;
  private revision = 0;
  private historyStartRevision = 0;
  private readonly items = new Map<string, Item>();
  private history: Item[] = [];
  private writeLog: LoggedWrite[] = [];
  private readonly pendingWatches = new Set<() => void>();
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor() {
    this.server = createServer((request, response) => this.handleRequest(request, response));
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
    this.resetConnections();
    this.server.close();
  }

  put(key: string, value: unknown): void {
    this.putBytes(key, Buffer.from(JSON.stringify(value)));
  }

  /** Writes any bytes, valid or not. */
  putBytes(key: string, bytes: Buffer): void {
    this.revision += 1;
    this.record({ key, revision: this.revision, value: bytes.toString('base64') });
  }

  /** Writes the record of a backend, with defaults for fields that are left out. */
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

  /** Returns the value of a key, parsed as JSON; undefined if the key does not exist. */
  read(key: string): unknown {
    const value = this.items.get(key)?.value;
    return value === undefined ? undefined : JSON.parse(Buffer.from(value, 'base64').toString());
  }

  remove(key: string): void {
    this.revision += 1;
    this.record({ key, revision: this.revision, gone: true });
  }

  /**
   * Restores the state of `backupAgeMs` ago: later writes are lost, and their revisions are reused.
   * Resets every connection.
   *
   * @returns the keys that the restore changed, for their owners to write again
   */
  restore(backupAgeMs: number): RevertedItem[] {
    const backupAtMs = performance.now() - backupAgeMs;
    const before = new Map(this.items);
    this.writeLog = this.writeLog.filter(({ atMs }) => atMs <= backupAtMs);
    this.items.clear();
    this.revision = 0;
    for (const { item } of this.writeLog) {
      this.revision = item.revision;
      this.applyItem(item);
    }
    this.history = this.history.filter(({ revision }) => revision <= this.revision);
    this.epoch = (this.epoch ?? 0) + 1;
    this.resetConnections();
    const keys = new Set([...before.keys(), ...this.items.keys()]);
    return [...keys]
      .filter((key) => before.get(key) !== this.items.get(key))
      .map((key) => ({ key, value: before.get(key)?.value }));
  }

  /** Writes lost values of operators and backends again, except for keys written since. */
  rewriteReverted(lost: readonly RevertedItem[]): void {
    for (const { key, value } of lost) {
      const isWritten = this.writeLog.some(
        ({ item, epoch }) => item.key === key && epoch === this.epoch,
      );
      if (isWritten || !EXTERNAL_OWNER_KEYS.test(key)) {
        continue;
      }
      if (value === undefined) {
        this.remove(key);
      } else {
        this.putBytes(key, Buffer.from(value, 'base64'));
      }
    }
  }

  /** Drops the history and resets every connection. */
  dropHistory(): void {
    this.history = [];
    this.historyStartRevision = this.revision;
    this.resetConnections();
  }

  resetConnections(): void {
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
  }

  private record(item: Item): void {
    this.history.push(item);
    this.writeLog.push({ item, atMs: performance.now(), epoch: this.epoch });
    this.applyItem(item);
    for (const notify of [...this.pendingWatches]) {
      notify();
    }
  }

  private applyItem(item: Item): void {
    if (item.gone === true) {
      this.items.delete(item.key);
    } else {
      this.items.set(item.key, item);
    }
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? '/', 'http://store');
    this.calls.push(url.pathname);
    this.onCall?.();
    if (this.epoch !== undefined) {
      response.setHeader('Store-Era', `${this.epoch}`);
    }
    if (this.behavior === 'silent') {
      return;
    }
    if (this.behavior === 'resets') {
      request.socket.resetAndDestroy();
      return;
    }
    if (this.behavior === 'refuses') {
      reply(response, 503, { error: 'busy' });
      return;
    }
    if (url.pathname === '/-/kv-range') {
      this.handleRange(url, response);
    } else if (url.pathname === '/-/kv-watch') {
      this.handleWatch(url, response);
    } else if (url.pathname === '/-/kv-txn') {
      void this.handleTransaction(request, response);
    } else {
      reply(response, 404, {});
    }
  }

  private handleRange(url: URL, response: ServerResponse): void {
    const after = url.searchParams.get('afterRevision') ?? '';
    const prefix = url.searchParams.get('pathPrefix') ?? '';
    const remaining = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const items = remaining.slice(0, PAGE_SIZE);
    reply(response, 200, { items, more: remaining.length > PAGE_SIZE, at: this.revision });
  }

  private async handleTransaction(
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

  private handleWatch(url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get('afterRevision'));
    if (after < this.historyStartRevision || after > this.revision) {
      reply(response, 410, {});
      return;
    }
    const end = () => {
      if (this.behavior === 'silent') {
        // A silent store drops the response.
        this.pendingWatches.delete(end);
        clearTimeout(timer);
        return;
      }
      const events = this.history.filter(({ revision }) => revision > after);
      if (events.length > 0 || !this.pendingWatches.has(end)) {
        this.pendingWatches.delete(end);
        clearTimeout(timer);
        reply(response, 200, { events, at: this.revision });
      }
    };
    const timer = setTimeout(
      () => {
        this.pendingWatches.delete(end);
        end();
      },
      Number(url.searchParams.get('waitMs')),
    );
    response.on('close', () => {
      this.pendingWatches.delete(end);
      clearTimeout(timer);
    });
    this.pendingWatches.add(end);
    if (this.history.some(({ revision }) => revision > after)) {
      end();
    }
  }
}

function reply(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** A request as a fake backend received it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  /** Alternating names and values of all header lines, in the order received. */
  readonly rawHeaders: readonly string[];
  readonly body: string;
}

/** More than any head that a gateway forwards. */
const MAX_HEADER_BYTES = 256 * 1_024;

/** Fake backend that responds by a handler and records the requests it receives. */
export class FakeBackend {
  readonly received: ReceivedRequest[] = [];
  /** Listening address as IP:PORT; empty before the start. */
  address = '';
  private readonly sockets = new Set<Socket>();
  readonly server: Server;

  constructor(
    readonly id: string,
    handler: (request: ReceivedRequest, response: ServerResponse) => void,
  ) {
    this.server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (bytes: Buffer) => chunks.push(bytes));
      request.on('end', () => {
        const { method = '', url = '', headers, rawHeaders } = request;
        const body = Buffer.concat(chunks).toString();
        const seen = { method, path: url, headers, rawHeaders, body };
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
    // Keeps all header lines.
    this.server.maxHeadersCount = 0;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Listens on `address`, by default on an ephemeral port. */
  async start(address = '127.0.0.1:0'): Promise<string> {
    const [host, port] = address.split(':');
    await new Promise<void>((resolve) => this.server.listen(Number(port), host, resolve));
    this.address = `${host}:${(this.server.address() as AddressInfo).port}`;
    return this.address;
  }

  /** Stops listening and resets every connection. */
  crash(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}
