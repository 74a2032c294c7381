/** HTTP server for callers: reads complete requests and passes them to a handler. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';
import { BodyBuffer } from '../../http/body-buffer.js';
import { BufferCollector } from '../../http/buffer-collector.js';
import { ClientMemory, RequestMemory, requestHeadMemory } from '../../http/client-memory.js';
import type { MemoryHolder } from '../../http/client-memory.js';
import { ConnectionInput, MAX_HEAD_BYTES } from '../../http/connection-input.js';
import { InputTurns } from '../../http/input-turns.js';
import { maxHeaderLines } from '../../http/header-lines.js';
import { DEFAULT_CALLER_LIMITS } from '../../routing/configuration.js';
import type { CallerLimits } from '../../routing/configuration.js';
import type { CallerReply } from '../attempt/attempt.js';
import type { AfterPollQueue } from '../../after-poll-queue.js';
import { SYSTEM_CLOCK } from '../../clock.js';
import { AcceptBacklogMonitor } from './accept-backlog-monitor.js';
import type { AcceptBacklog } from './accept-backlog-monitor.js';
import { CallerDisconnectWatcher } from './caller-disconnect-watcher.js';
import type { RawHeaders } from './caller-protocol.js';
import { ClientErrors } from './client-errors.js';
import { ConnectionResponses, leaveOpenAfter } from './connection-responses.js';
import { IdleConnections } from './idle-connections.js';
import { RejectedConnections } from './rejected-connections.js';
import type { RejectionCause } from './rejected-connections.js';
import { UnflushedResponses } from './unflushed-responses.js';
import { UnusedConnectionCloser } from './unused-connection-closer.js';

/** The head of a received request. */
export interface ReceivedHead {
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly rawHeaders: RawHeaders;
  readonly headers: IncomingMessage['headers'];
  /**
   * Whether it was read after a response had said that its connection is closed: the caller may
   * send it again elsewhere, so it must not be processed. Omitted for false.
   */
  readonly followsClose?: boolean;
}

/** Callbacks for a request whose body is being read. */
export interface RequestBodyHandlers {
  /** The body is complete, and the caller is still connected. */
  onBody(body: Buffer): void;
  /** The body is longer than allowed. */
  onTooLong(): void;
  /** The body is not read to its end, since callers hold too much memory. */
  onMemoryExhausted(): void;
  /** The caller disconnected, before or after the body was complete. */
  onCallerDisconnected(): void;
  /** The operating system has taken the whole response. */
  onFlushed?(): void;
}

/** Handles a request head and returns the callbacks for its body. */
export type RequestHandler = (head: ReceivedHead, reply: CallerReply) => RequestBodyHandlers;

const CONNECTION_CHECK_MS = 500;
/** Requests of one connection that may be open at the same time; further ones wait unparsed. */
const MAX_OPEN_REQUESTS = 64;
/** Unsent bytes of a response above which it is aborted. */
const MAX_UNREAD_RESPONSE_BYTES = 4 * 1024 * 1024;

/** HTTP server that accepts the connections of callers. */
export class CallerListener {
  readonly server: Server;
  private readonly idleConnections: IdleConnections;
  private readonly clientErrors: ClientErrors;
  private readonly disconnectWatchers = new Map<Socket, CallerDisconnectWatcher>();
  private readonly inputs = new Map<Socket, ConnectionInput>();
  private readonly holders = new Map<Socket, MemoryHolder>();
  /** By connection, the request whose body is being read. */
  private readonly receiving = new Map<Socket, ReceivingRequest>();
  private readonly rejected: RejectedConnections;
  private readonly buffers: BufferCollector;
  private readonly turns = new InputTurns(SYSTEM_CLOCK);
  private readonly responses = new WeakMap<Socket, ConnectionResponses>();
  /** Requests that were read whole and wait for a poll that may show that their callers left. */
  private readonly unprocessed = new Set<IncomingMessage>();
  private readonly unflushed = new UnflushedResponses(() => this.onFlushed());
  private readonly closer = new UnusedConnectionCloser(SYSTEM_CLOCK);
  private maxHeaderBytes = DEFAULT_CALLER_LIMITS.maxHeaderBytes;
  private acceptedCount = 0;
  private isClosing = false;

  constructor(
    private readonly handleRequest: RequestHandler,
    private readonly maxBodyBytes: () => number,
    private readonly afterPolls: AfterPollQueue,
    /** Called after each period in which connections waited to be accepted. */
    onAcceptBacklog: (backlog: AcceptBacklog) => void = () => undefined,
    /** Called after each response that was flushed or whose caller disconnected. */
    private readonly onFlushed: () => void = () => undefined,
    /** Called with each connection that is closed for what it sent. */
    onRejected: (cause: RejectionCause) => void = () => undefined,
    /** Bounds the memory that callers hold. */
    private readonly memory = new ClientMemory(Infinity),
    /** Connections that may be open at the same time. */
    private readonly maxConnections = Infinity,
  ) {
    this.rejected = new RejectedConnections(SYSTEM_CLOCK, onRejected);
    this.buffers = new BufferCollector(() => memory.heldBytes);
    const acceptBacklog = new AcceptBacklogMonitor(SYSTEM_CLOCK, onAcceptBacklog);
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
        noDelay: true,
      },
      (request, response) => this.receive(request, response),
    );
    this.server.requestTimeout = 0;
    this.server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
      if (announcedBodyBytes(request) <= this.maxBodyBytes()) {
        response.writeContinue();
      }
      this.server.emit('request', request, response);
    });
    // The default would drop header lines past it without a word.
    this.server.maxHeadersCount = maxHeaderLines(MAX_HEAD_BYTES);
    this.idleConnections = new IdleConnections(this.server, SYSTEM_CLOCK, this.closer);
    this.clientErrors = new ClientErrors(this.server, this.closer);
    this.server.on('connection', (socket: Socket) => {
      acceptBacklog.recordAccept();
      this.acceptedCount += 1;
      this.addConnection(socket);
    });
  }

  /** Applies the configured limits to requests that arrive from now on. */
  applyLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.maxHeaderBytes = limits.maxHeaderBytes;
    this.idleConnections.applyTimeouts(limits);
  }

  /** Number of open connections. */
  get connections(): number {
    return this.disconnectWatchers.size;
  }

  /** Number of requests that were read whole, or wait to be parsed, and were not passed on yet. */
  get unprocessedCount(): number {
    return this.unprocessed.size + this.turns.count;
  }

  /** Number of responses that have ended and are not flushed. */
  get unflushedCount(): number {
    return this.unflushed.count;
  }

  /** Number of requests that were not passed on yet, and of responses that are not flushed. */
  get pendingCount(): number {
    return this.unprocessedCount + this.unflushedCount;
  }

  /**
   * Closes each connection after the last of its responses, which says `Connection: close`, from now
   * on.
   */
  closeConnectionsAfterResponse(): void {
    this.isClosing = true;
  }

  /**
   * Stops accepting connections, closes idle ones and those that become idle later, and calls
   * `onStopped`; connections that wait to be accepted are accepted first.
   */
  stopListening(onStopped: () => void = () => undefined): void {
    const acceptedBefore = this.acceptedCount;
    this.closer.closeUnlessUsed({
      isUnused: () => {
        // A poll accepts one connection.
        const isBacklogEmpty = this.acceptedCount === acceptedBefore;
        if (!isBacklogEmpty) {
          this.stopListening(onStopped);
        }
        return isBacklogEmpty;
      },
      close: () => {
        // The method of the HTTP server would also close connections with unflushed responses.
        NetServer.prototype.close.call(this.server);
        this.idleConnections.closeOnceIdle();
        onStopped();
      },
    });
  }

  /**
   * Calls `callback` right after a poll that brought no input from callers, once all requests that
   * were read whole are passed on: until then a request that has arrived may be unread.
   */
  afterQuietPoll(callback: () => void): void {
    const inputBefore = this.inputCount;
    this.closer.closeUnlessUsed({
      isUnused: () => {
        const isQuiet = this.inputCount === inputBefore && this.unprocessedCount === 0;
        if (!isQuiet) {
          this.afterQuietPoll(callback);
        }
        return isQuiet;
      },
      close: callback,
    });
  }

  /** Closes all connections, whatever runs on them. */
  closeConnections(): void {
    this.server.closeAllConnections();
  }

  /** Changes with each input from callers. */
  private get inputCount(): number {
    const sockets = [...this.disconnectWatchers.keys()];
    return sockets.reduce((sum, { bytesRead }) => sum + bytesRead, this.acceptedCount);
  }

  private addConnection(socket: Socket): void {
    if (this.connections >= this.maxConnections) {
      this.rejected.closeNow(this.findLeastUsed() ?? socket, 'too-many-connections');
    }
    this.disconnectWatchers.set(socket, new CallerDisconnectWatcher(socket));
    const holder = this.memory.addHolder(() => this.evict(socket));
    this.holders.set(socket, holder);
    this.inputs.set(socket, this.readInput(socket, holder));
    socket.on('close', () => {
      this.memory.remove(holder);
      this.disconnectWatchers.delete(socket);
      this.inputs.delete(socket);
      this.holders.delete(socket);
      this.receiving.delete(socket);
    });
  }

  /** Returns the oldest connection that has no open request. */
  private findLeastUsed(): Socket | undefined {
    const entries = [...this.inputs].filter(([socket]) => !socket.destroyed);
    return entries.find(([, input]) => input.openCount === 0)?.[0];
  }

  private readInput(socket: Socket, holder: MemoryHolder): ConnectionInput {
    const limits = {
      maxOpenRequests: MAX_OPEN_REQUESTS,
      maxHeaderBytes: () => this.maxHeaderBytes,
      maxBytesAhead: () => MAX_HEAD_BYTES + this.maxBodyBytes(),
    };
    const input: ConnectionInput = new ConnectionInput(socket, this.turns, limits, {
      onReceived: (bytes) => this.buffers.noteMoved(bytes),
      onWaitingChange: (bytes) => holder.add(bytes),
      onDiscarded: (bytes) => this.rejected.countDiscarded(socket, bytes),
      onHeadTooLong: () => {
        this.clientErrors.respondHeadTooLong(socket);
        this.rejected.closeAfterResponse(socket, input);
      },
      onTooFarAhead: () => this.rejected.closeNow(socket, 'too-far-ahead'),
    });
    return input;
  }

  /**
   * Frees what a connection holds. Its only request is refused if it has not been read whole, since
   * it has certainly not run then; otherwise the connection is closed.
   */
  private evict(socket: Socket): void {
    const receiving = this.receiving.get(socket);
    if (receiving !== undefined && this.inputs.get(socket)?.openCount === 1) {
      receiving.refuse();
    } else {
      this.rejected.closeNow(socket, 'memory');
    }
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    this.inputs.get(request.socket)?.beginRequest(request, response);
    const connection = this.responsesOf(request.socket);
    const followsClose = connection.add(response);
    const connectionHeaders = (isBodyUnread: boolean) => {
      if (!connection.announceClose(response, this.isClosing || isBodyUnread)) {
        return this.idleConnections.keepAliveHeader(response);
      }
      if (isBodyUnread) {
        this.closeBeforeBodyEnds(response);
      } else {
        this.idleConnections.closeAfter(response);
      }
      return ['Connection', 'close'];
    };
    const memory = this.holdMemory(request, response);
    const reply = new HttpReply(request, response, this.unflushed, connectionHeaders, (bytes) => {
      memory.setResponse(response.destroyed ? 0 : response.writableLength);
      this.buffers.noteMoved(bytes);
    });
    const head: ReceivedHead = {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      host: request.headers.host ?? '',
      rawHeaders: request.rawHeaders,
      headers: request.headers,
      followsClose,
    };
    const handlers = this.handleRequest(head, reply);
    let hasDisconnected = false;
    const handleDisconnect = () => {
      hasDisconnected = true;
      this.unprocessed.delete(request);
      if (!response.writableFinished) {
        handlers.onCallerDisconnected();
      }
      if (!response.writableEnded) {
        response.destroy();
      }
    };
    const stopWatching = this.disconnectWatchers
      .get(request.socket)
      ?.onDisconnect(handleDisconnect);
    response.on('finish', () => {
      stopWatching?.();
      handlers.onFlushed?.();
    });
    response.on('close', () => {
      stopWatching?.();
      handleDisconnect();
    });
    this.readBody(request, memory, {
      onTooLong: () => handlers.onTooLong(),
      onMemoryExhausted: () => handlers.onMemoryExhausted(),
      onBody: (body) => {
        if (!hasDisconnected) {
          this.unprocessed.add(request);
          this.afterPolls.afterNextPoll(() => this.process(request, body, handlers));
        }
      },
    });
  }

  /** Closes the connection after `response` without waiting for the rest of the request's body. */
  private closeBeforeBodyEnds(response: ServerResponse): void {
    const { socket } = response.req;
    // Earlier than the listener of the server, which would close it at once.
    response.prependOnceListener('finish', () => {
      leaveOpenAfter(response);
      this.rejected.closeAfterResponse(socket, this.inputs.get(socket)!);
    });
  }

  private responsesOf(socket: Socket): ConnectionResponses {
    const responses = this.responses.get(socket) ?? new ConnectionResponses();
    this.responses.set(socket, responses);
    return responses;
  }

  /** Passes on a request unless its caller has disconnected. */
  private process(request: IncomingMessage, body: Buffer, handlers: RequestBodyHandlers): void {
    if (this.unprocessed.delete(request)) {
      handlers.onBody(body);
    }
  }

  /** Accounts for a request until its response has left the process. */
  private holdMemory(request: IncomingMessage, response: ServerResponse): RequestMemory {
    const holder = this.holders.get(request.socket)!;
    const memory = new RequestMemory(holder);
    memory.add(requestHeadMemory(request.rawHeaders));
    response.once('close', () => memory.release());
    return memory;
  }

  private readBody(
    request: IncomingMessage,
    memory: RequestMemory,
    handlers: Pick<RequestBodyHandlers, 'onBody' | 'onTooLong' | 'onMemoryExhausted'>,
  ): void {
    const { socket } = request;
    const announcedBytes = announcedBodyBytes(request);
    const body = new BodyBuffer(announcedBytes > 0 ? announcedBytes : undefined);
    let isRefused = false;
    const refuse = (answer: () => void) => {
      isRefused = true;
      this.receiving.delete(socket);
      body.clear();
      answer();
    };
    if (announcedBytes > this.maxBodyBytes()) {
      refuse(handlers.onTooLong);
      return;
    }
    this.receiving.set(socket, { refuse: () => refuse(handlers.onMemoryExhausted) });
    request.on('data', (bytes: Buffer) => {
      if (isRefused) {
        return;
      }
      if (body.length + bytes.length > this.maxBodyBytes()) {
        refuse(handlers.onTooLong);
        return;
      }
      body.append(bytes);
      memory.add(bytes.length);
    });
    request.on('end', () => {
      if (!isRefused) {
        this.receiving.delete(socket);
        handlers.onBody(body.toBuffer());
      }
    });
    request.on('error', () => undefined);
  }
}

/** Returns the length that the head of a request states for its body; 0 if it states none. */
function announcedBodyBytes({ headers }: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0);
}

/** A request whose body is being read. */
interface ReceivingRequest {
  /** Refuses it and discards what was read. */
  refuse(): void;
}

/** Writes the response to one request. */
class HttpReply implements CallerReply {
  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly unflushed: UnflushedResponses,
    /** Returns the headers that state whether the connection is kept. */
    private readonly connectionHeaders: (isBodyUnread: boolean) => RawHeaders,
    /** Called when bytes were written, or taken by the operating system. */
    private readonly onMoved: (writtenBytes: number) => void,
  ) {}

  start(status: number, headers: RawHeaders): void {
    if (this.response.headersSent || this.response.destroyed) {
      return;
    }
    const isBodyUnread = !this.request.complete;
    this.response.writeHead(status, [...headers, ...this.connectionHeaders(isBodyUnread)]);
  }

  write(bytes: Buffer): boolean {
    if (this.response.destroyed) {
      return true;
    }
    const hasNoBackpressure = this.response.write(bytes);
    this.onMoved(bytes.length);
    if (this.response.writableLength > MAX_UNREAD_RESPONSE_BYTES) {
      this.abort();
    }
    return hasNoBackpressure;
  }

  end(bytes?: Buffer): void {
    if (!this.response.destroyed && !this.response.writableEnded) {
      this.unflushed.add(this.response, this.request.socket);
      this.response.end(bytes);
      this.onMoved(bytes?.length ?? 0);
    }
  }

  abort(): void {
    this.response.destroy();
  }

  onceDrained(callback: () => void): void {
    this.response.once('drain', () => {
      this.onMoved(0);
      callback();
    });
  }
}
