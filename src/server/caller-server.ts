/** The callers' interface over HTTP. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AnswerUsage, ArrivedRequest } from '../entry/entry-events.js';
import type { PolicyReplica } from '../policy/replica.js';
import { notRun } from '../request/refusal.js';
import type { Refusal } from '../request/refusal.js';
import { RequestIdSource } from '../request/request-id.js';
import type { RequestId } from '../request/request-id.js';
import { CallerSession, writeRefusal } from './caller-session.js';
import { readCallerRequest } from './caller-request.js';
import type { Settings } from './settings-schema.js';

/** Who takes what callers ask for. */
export interface CallerServerHandlers {
  onRequest(request: ArrivedRequest): void;
  onCallerGone(id: RequestId): void;
}

/** The callers' interface over HTTP. */
export class CallerServer {
  readonly server: Server;
  private readonly sessions = new Map<RequestId, CallerSession>();
  private readonly ids: RequestIdSource;

  constructor(
    private readonly settings: Settings,
    incarnation: string,
    private readonly replica: PolicyReplica,
    private readonly handlers: CallerServerHandlers,
  ) {
    this.ids = new RequestIdSource(incarnation);
    const { listen } = settings;
    this.server = createServer(
      {
        maxHeaderSize: listen.maxHeaderBytes,
        headersTimeout: listen.headersTimeoutMs,
        requestTimeout: listen.requestTimeoutMs,
      },
      (request, response) => this.take(request, response),
    );
    this.server.maxConnections = listen.maxConnections;
  }

  /** Begins the answer to a caller. */
  startAnswer(id: RequestId, status: number, contentType: string): void {
    this.sessions.get(id)?.start(status, contentType);
  }

  /** Writes the next part of an answer. */
  writeAnswer(id: RequestId, data: string | Uint8Array): void {
    this.sessions.get(id)?.write(data);
  }

  /** Ends a whole answer. */
  endAnswer(id: RequestId, usage: AnswerUsage): void {
    const session = this.sessions.get(id);
    this.sessions.delete(id);
    session?.end(usage);
  }

  /** Gives a caller its final refusal. */
  refuse(id: RequestId, refusal: Refusal): void {
    const session = this.sessions.get(id);
    this.sessions.delete(id);
    session?.refuse(refusal);
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    const id = this.ids.next();
    const parts: Buffer[] = [];
    let length = 0;
    request.on('data', (bytes: Buffer) => {
      length += bytes.length;
      if (length <= this.settings.listen.maxBodyBytes) {
        parts.push(bytes);
      }
    });
    request.on('end', () => {
      if (length > this.settings.listen.maxBodyBytes) {
        writeRefusal(response, id, notRun('invalid-request', 'the body is too long'));
        return;
      }
      this.begin(id, request, response, Buffer.concat(parts));
    });
    request.on('error', () => response.destroy());
  }

  private begin(
    id: RequestId,
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): void {
    const read = readCallerRequest(request, body, id, this.replica, this.settings.entry);
    if (!read.ok) {
      writeRefusal(response, id, read.val);
      return;
    }
    const { arrived, style } = read.val;
    this.sessions.set(id, new CallerSession(id, style, arrived.model, response));
    response.on('close', () => {
      if (this.sessions.delete(id)) {
        this.handlers.onCallerGone(id);
      }
    });
    this.handlers.onRequest(arrived);
  }
}
