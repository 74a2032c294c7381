/** HTTP server for callers: receives requests and writes their responses. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { ResponseUsage, IncomingRequest } from '../entry/entry-events.js';
import type { PolicyReplica } from '../policy/replica.js';
import { maxHeaderLines } from '../http/header-lines.js';
import { notExecutedRefusal } from '../request/refusal.js';
import type { Refusal } from '../request/refusal.js';
import { RequestIdGenerator } from '../request/request-id.js';
import type { RequestId } from '../request/request-id.js';
import { CallerResponseWriter, writeRefusal } from './caller-response-writer.js';
import { parseCallerRequest } from './caller-request.js';
import type { Settings } from './settings-schema.js';

/** Callbacks for parsed requests and caller disconnects. */
export interface CallerServerHandlers {
  onRequest(request: IncomingRequest): void;
  onCallerDisconnected(id: RequestId): void;
}

/** HTTP server for callers: receives requests and writes their responses. */
export class CallerServer {
  readonly server: Server;
  private readonly responses = new Map<RequestId, CallerResponseWriter>();
  private readonly requestIds: RequestIdGenerator;

  constructor(
    private readonly settings: Settings,
    incarnation: string,
    private readonly replica: PolicyReplica,
    private readonly handlers: CallerServerHandlers,
  ) {
    this.requestIds = new RequestIdGenerator(incarnation);
    const { listen } = settings;
    this.server = createServer(
      {
        maxHeaderSize: listen.maxHeaderBytes,
        headersTimeout: listen.headersTimeoutMs,
        requestTimeout: listen.requestTimeoutMs,
      },
      (request, response) => this.receiveRequest(request, response),
    );
    this.server.maxConnections = listen.maxConnections;
    // The default would drop header lines past it without a word.
    this.server.maxHeadersCount = maxHeaderLines(listen.maxHeaderBytes);
  }

  /** Sends the header of a response; a JSON document gets its header when it is complete. */
  startResponse(id: RequestId, status: number, contentType: string): void {
    this.responses.get(id)?.start(status, contentType);
  }

  /** Writes the next chunk of a response. */
  writeResponse(id: RequestId, data: string | Uint8Array): void {
    this.responses.get(id)?.write(data);
  }

  /** Completes a response. */
  endResponse(id: RequestId, usage: ResponseUsage): void {
    const writer = this.responses.get(id);
    this.responses.delete(id);
    writer?.end(usage);
  }

  /** Ends a request with a refusal. */
  refuse(id: RequestId, refusal: Refusal): void {
    const writer = this.responses.get(id);
    this.responses.delete(id);
    writer?.refuse(refusal);
  }

  private receiveRequest(request: IncomingMessage, response: ServerResponse): void {
    const id = this.requestIds.next();
    const chunks: Buffer[] = [];
    let bodyLength = 0;
    request.on('data', (bytes: Buffer) => {
      bodyLength += bytes.length;
      if (bodyLength <= this.settings.listen.maxBodyBytes) {
        chunks.push(bytes);
      }
    });
    request.on('end', () => {
      if (bodyLength > this.settings.listen.maxBodyBytes) {
        writeRefusal(response, id, notExecutedRefusal('invalid-request', 'the body is too long'));
        return;
      }
      this.submitRequest(id, request, response, Buffer.concat(chunks));
    });
    request.on('error', () => response.destroy());
  }

  private submitRequest(
    id: RequestId,
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): void {
    const parsed = parseCallerRequest(request, body, id, this.replica, this.settings.entry);
    if (!parsed.ok) {
      writeRefusal(response, id, parsed.val);
      return;
    }
    const { incoming, format } = parsed.val;
    this.responses.set(id, new CallerResponseWriter(id, format, incoming.model, response));
    response.on('close', () => {
      if (this.responses.delete(id)) {
        this.handlers.onCallerDisconnected(id);
      }
    });
    this.handlers.onRequest(incoming);
  }
}
