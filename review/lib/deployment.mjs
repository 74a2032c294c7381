/** A deployment of the size and with the settings of the small one on our users' pages. */

const HOST = 'review.example';
/** The key that the clients send, and its tenant. */
export const API_KEY = 'i9n73hh2b9wu3fexd9dn';
const TENANT = 'hule930';
/** Gateways of the deployment. */
export const GATEWAYS = 4;

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 20_000,
};

function route(name, service, kind, options) {
  const pathPrefix = `/${kind === 'streaming' ? 'stream' : kind}/${name}/`;
  return { name, host: HOST, pathPrefix, service, kind, sticky: kind === 'streaming', ...options };
}

/** Routes of the site's kinds of requests, with its limits. */
export const CONFIGURATION = {
  version: 7,
  routes: [
    route('packet-review', 'weir-llm', 'streaming', {
      priority: 0,
      timeoutMs: 8_000,
      targetLatencyMs: 600,
      gapAimMs: 250,
      maxAttempts: 1,
    }),
    route('contract-match', 'weir-llm', 'streaming', {
      priority: 1,
      timeoutMs: 5_000,
      targetLatencyMs: 500,
      gapAimMs: 250,
      maxAttempts: 2,
      resumable: true,
    }),
    route('remit-confirm', 'ledger-api', 'unsafe', {
      priority: 2,
      timeoutMs: 1_000,
      targetLatencyMs: 121,
      maxAttempts: 1,
    }),
    route('advance-status', 'ledger-api', 'safe', {
      priority: 2,
      timeoutMs: 1_000,
      targetLatencyMs: 121,
      maxAttempts: 2,
    }),
  ],
  services: [
    { name: 'weir-llm', maxConnections: 360, engine: { stride: 5 }, healthPath: '/health' },
    { name: 'ledger-api', maxConnections: 96, healthPath: '/health' },
  ],
  limits: LIMITS,
  tenants: [{ name: TENANT, apiKeys: [API_KEY] }],
};

/** Options of the workers: three of the ledger and `engines` model workers with slot agents. */
export function workerOptions(engines, onRun) {
  const ledger = [0, 1, 2].map((index) => ({
    id: `i-ledger-${index}`,
    service: 'ledger-api',
    slots: 6,
    workMs: 21,
    onRun,
  }));
  const models = Array.from({ length: engines }, (_unused, index) => ({
    id: `i-llm-${index}`,
    service: 'weir-llm',
    isEngine: true,
    slots: 4,
    workMs: 40,
    events: 10,
    eventMs: 15,
    onRun,
  }));
  return [...ledger, ...models];
}

/** Headers of a request of the tenant. */
export const KEY_HEADERS = { Authorization: `Bearer ${API_KEY}` };

/** Headers of a request to a model; `part` is the shared part of its prompt. */
export function modelHeaders(part) {
  return {
    ...KEY_HEADERS,
    'X-Weirvale-Model': 'm',
    'X-Weirvale-Token-Counts': '1460,50',
    'X-Weirvale-Length-Hint': '50',
    'X-Weirvale-Prompt-Prefix': `${part}:60,${Math.random().toString(16).slice(2, 10)}:1400`,
  };
}
