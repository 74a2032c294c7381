/** The operators' interface over HTTP: health, readiness, status and explanations. Read-only. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { explainRequest } from '../policy/explain.js';
import type { PolicyReplica } from '../policy/replica.js';
import { readLabels } from './caller-request.js';

/** What the operators' interface shows of a process. */
export interface OperatorsView {
  readonly replica: PolicyReplica;
  /** Whether the process can serve. */
  isReady(): boolean;
  /** The process as it is now. */
  status(): object;
}

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

/** Creates the operators' interface. */
export function createOperatorsServer(view: OperatorsView): Server {
  return createServer({ maxHeaderSize: 16_384, requestTimeout: 10_000 }, (request, response) => {
    request.resume();
    answer(view, request, response);
  });
}

function answer(view: OperatorsView, request: IncomingMessage, response: ServerResponse): void {
  const url = new URL(request.url ?? '/', 'http://operators');
  switch (url.pathname) {
    case '/health':
      writeJson(response, HTTP_OK, { healthy: true });
      break;
    case '/ready':
      writeJson(response, view.isReady() ? HTTP_OK : HTTP_UNAVAILABLE, { ready: view.isReady() });
      break;
    case '/status':
      writeJson(response, HTTP_OK, view.status());
      break;
    case '/explain':
      answerExplain(view, url.searchParams, response);
      break;
    default:
      writeJson(response, HTTP_NOT_FOUND, { error: { type: 'not-found' } });
  }
}

function answerExplain(
  view: OperatorsView,
  parameters: URLSearchParams,
  response: ServerResponse,
): void {
  const dataLabels = readLabels(parameters.get('data') ?? '');
  if (dataLabels === 'fault') {
    writeJson(response, HTTP_BAD_REQUEST, { error: { type: 'invalid-request' } });
    return;
  }
  const explanation = explainRequest(view.replica.policy, {
    tenant: parameters.get('tenant') ?? '',
    model: parameters.get('model') ?? '',
    dataLabels,
  });
  writeJson(response, HTTP_OK, explanation);
}

function writeJson(response: ServerResponse, status: number, value: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}
