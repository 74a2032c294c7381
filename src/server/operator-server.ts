/** Read-only HTTP API for operators: health, readiness, status and policy explanations. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { explainRequest } from '../policy/explain.js';
import type { PolicyReplica } from '../policy/replica.js';
import { parseLabels } from './caller-request.js';

/** Process state that the operator API reports. */
export interface ProcessStatusSource {
  readonly replica: PolicyReplica;
  /** Whether the process can serve requests. */
  isReady(): boolean;
  /** Current state of the process, as the JSON document of `/status`. */
  status(): object;
}

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

/** Creates the HTTP server of the operator API. */
export function createOperatorServer(source: ProcessStatusSource): Server {
  return createServer({ maxHeaderSize: 16_384, requestTimeout: 10_000 }, (request, response) => {
    request.resume();
    handleRequest(source, request, response);
  });
}

function handleRequest(
  source: ProcessStatusSource,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const url = new URL(request.url ?? '/', 'http://operators');
  switch (url.pathname) {
    case '/health':
      writeJson(response, HTTP_OK, { healthy: true });
      break;
    case '/ready':
      writeJson(response, source.isReady() ? HTTP_OK : HTTP_UNAVAILABLE, {
        ready: source.isReady(),
      });
      break;
    case '/status':
      writeJson(response, HTTP_OK, source.status());
      break;
    case '/explain':
      handleExplain(source, url.searchParams, response);
      break;
    default:
      writeJson(response, HTTP_NOT_FOUND, { error: { type: 'not-found' } });
  }
}

function handleExplain(
  source: ProcessStatusSource,
  parameters: URLSearchParams,
  response: ServerResponse,
): void {
  const dataLabels = parseLabels(parameters.get('data') ?? '');
  if (dataLabels === 'fault') {
    writeJson(response, HTTP_BAD_REQUEST, { error: { type: 'invalid-request' } });
    return;
  }
  const explanation = explainRequest(source.replica.policy, {
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
