/** Settings schema of a daemon, with the unit and default of each option. */
import { z } from 'zod';
import { DEFAULT_AGENT_OPTIONS, DEFAULT_ENTRY_OPTIONS } from '../options.js';
import { DEFAULT_FOLLOWER_OPTIONS } from '../policy/follower.js';

/** Metadata of an option for the settings reference page. */
export interface SettingMetadata {
  readonly description: string;
  readonly unit: string;
  /** Default value; undefined for a required option. */
  readonly fallback?: string | number | boolean;
}

const MAX_PORT = 65_535;
const MAX_MS = 86_400_000;
const MAX_COUNT = 1_000_000;
const GIBIBYTE = 1_073_741_824;

function milliseconds(defaultValue: number, description: string) {
  return integer(defaultValue, 'ms', description, 1, MAX_MS);
}

function count(defaultValue: number, description: string) {
  return integer(defaultValue, 'count', description, 1, MAX_COUNT);
}

function bytes(defaultValue: number, description: string) {
  return integer(defaultValue, 'bytes', description, 1, GIBIBYTE);
}

function port(description: string) {
  return integer(0, 'port', `${description}; 0 lets the operating system choose`, 0, MAX_PORT);
}

function integer(
  defaultValue: number,
  unit: string,
  description: string,
  min: number,
  max: number,
) {
  const meta: SettingMetadata = { description, unit, fallback: defaultValue };
  return z
    .string()
    .regex(/^\d+$/, 'must be a non-negative integer')
    .transform(Number)
    .pipe(z.number().min(min).max(max))
    .default(defaultValue)
    .meta({ ...meta });
}

function requiredText(description: string) {
  const meta: SettingMetadata = { description, unit: 'text' };
  return z
    .string()
    .min(1)
    .meta({ ...meta });
}

function text(defaultValue: string, description: string) {
  const meta: SettingMetadata = { description, unit: 'text', fallback: defaultValue };
  return z
    .string()
    .default(defaultValue)
    .meta({ ...meta });
}

function requiredChoice<Value extends string>(values: readonly Value[], description: string) {
  const meta: SettingMetadata = { description, unit: values.join(' or ') };
  return z.literal([...values]).meta({ ...meta });
}

function choice<Value extends string>(
  values: readonly Value[],
  defaultValue: Value,
  description: string,
) {
  const meta: SettingMetadata = { description, unit: values.join(' or '), fallback: defaultValue };
  return z
    .literal([...values])
    .default(defaultValue as z.util.NoUndefined<Value>)
    .meta({ ...meta });
}

const processSection = z.strictObject({
  role: requiredChoice(['entry', 'agent'], 'Role of this process'),
  name: requiredText("Name of the entry, or of the agent's engine"),
  region: requiredText('Region of the machine'),
  zone: requiredText('Zone of the machine'),
  place: requiredText('Place (hall) of the machine'),
});

const listenSection = z.strictObject({
  address: text('127.0.0.1', 'Address that all listeners bind to and that peers connect to'),
  protocolPort: port('Port for connections from entries (agent)'),
  callersPort: port('Port of the HTTP API for callers (entry)'),
  operatorsPort: port('Port of the operator API: health, readiness, status, policy explanations'),
  maxConnections: count(4_096, 'Maximum connections per listener, except the operator API'),
  maxBodyBytes: bytes(4 * 1_048_576, "Maximum body size of a caller's request"),
  maxHeaderBytes: bytes(16_384, "Maximum header size of a caller's request"),
  headersTimeoutMs: milliseconds(10_000, "Timeout for receiving the header of a caller's request"),
  requestTimeoutMs: milliseconds(30_000, "Timeout for receiving a caller's complete request"),
  maxFrameBytes: bytes(16 * 1_048_576, 'Maximum size of a frame between entries and agents'),
  connectTimeoutMs: milliseconds(3_000, 'Timeout for a connection and its handshake'),
});

const platformSection = z.strictObject({
  keyValueUrl: requiredText("Base URL of the platform's key-value service"),
  liveListUrl: requiredText("Base URL of the platform's list of machines"),
  timeoutMs: milliseconds(2_000, 'Timeout of a platform request'),
  liveListPollMs: milliseconds(2_000, 'Poll interval of the list of machines'),
});

const policySection = z.strictObject({
  readersPerZone: count(
    DEFAULT_FOLLOWER_OPTIONS.readersPerZone,
    'Processes per zone that follow the policy by long polling',
  ),
  watchMs: milliseconds(DEFAULT_FOLLOWER_OPTIONS.watchMs, 'Maximum wait of a long poll'),
  pollMs: milliseconds(
    DEFAULT_FOLLOWER_OPTIONS.pollMs,
    'Poll interval of a process that does not use long polling',
  ),
  retryMs: milliseconds(DEFAULT_FOLLOWER_OPTIONS.retryMs, 'Initial backoff after a failed request'),
});

const entryDefaults = DEFAULT_ENTRY_OPTIONS;
const entrySection = z.strictObject({
  bidWidth: count(
    entryDefaults.bidWidth,
    'Base number of agents to which a waiting request is offered at the same time',
  ),
  maxWaitingRequests: count(
    entryDefaults.maxWaitingRequests,
    'Maximum waiting requests; beyond it the lowest tier is shed',
  ),
  maxWaitingBytes: bytes(entryDefaults.maxWaitingBytes, 'Maximum total size of waiting requests'),
  urgentSlackMs: milliseconds(
    entryDefaults.urgentSlackMs,
    'Time before its latest start at which a request becomes urgent',
  ),
  urgentGraceMs: milliseconds(
    entryDefaults.urgentGraceMs,
    'Minimum lifetime of urgent bids before their request may be refused ahead of its deadline',
  ),
  resumeTimeoutMs: milliseconds(
    entryDefaults.resumeTimeoutMs,
    'Time allowed for reconnecting, after which the responses of a broken connection count as lost',
  ),
  pingIntervalMs: milliseconds(
    entryDefaults.pingIntervalMs,
    'Time without sent messages after which a ping is sent to a peer',
  ),
  silenceTimeoutMs: milliseconds(
    entryDefaults.silenceTimeoutMs,
    'Time without received messages after which a connection is closed',
  ),
  reconnectMinMs: milliseconds(entryDefaults.reconnectMinMs, 'Minimum reconnect backoff'),
  reconnectMaxMs: milliseconds(entryDefaults.reconnectMaxMs, 'Maximum reconnect backoff'),
  agentsPerPool: count(
    entryDefaults.agentsPerPool,
    "Maximum connected agents per model and place in the entry's region",
  ),
  agentsPerRemotePool: count(
    entryDefaults.agentsPerRemotePool,
    'Maximum connected agents per model and place in another region',
  ),
  retryAfterMs: milliseconds(
    entryDefaults.retryAfterMs,
    'Retry-After value of refusals that have a temporary cause',
  ),
  noEngineGraceMs: milliseconds(
    entryDefaults.noEngineGraceMs,
    'Maximum wait of a request while no permitted engine is reachable',
  ),
  defaultDeadlineMs: milliseconds(60_000, 'Default deadline of a request'),
  maxDeadlineMs: milliseconds(600_000, 'Maximum deadline that a request may set'),
});

const agentDefaults = DEFAULT_AGENT_OPTIONS;
const agentSection = z.strictObject({
  backendUrl: text('', "Base URL of the agent's backend"),
  backendKind: choice(['engine', 'service'], 'engine', "Kind of the agent's backend"),
  capacity: count(agentDefaults.capacity, 'Maximum concurrent requests of the backend'),
  maxPaused: count(agentDefaults.maxPaused, 'Maximum paused requests of the backend'),
  maxBids: count(agentDefaults.maxBids, 'Maximum open bids; beyond it the lowest tier is refused'),
  callTimeoutMs: milliseconds(
    agentDefaults.callTimeoutMs,
    'Timeout of a call that waits for its bind',
  ),
  preemptAfterMs: milliseconds(
    agentDefaults.preemptAfterMs,
    'Wait of a higher-tier bid before a lower-tier request is preempted',
  ),
  permitLifetimeMs: integer(
    agentDefaults.permitLifetimeMs,
    'ms',
    'Lifetime of the permit that an entry gets when one of its requests ends; 0 disables permits',
    0,
    MAX_MS,
  ),
  answerRetentionMs: milliseconds(
    agentDefaults.answerRetentionMs,
    'Retention of a completed response that is not acknowledged',
  ),
  orphanTimeoutMs: milliseconds(
    agentDefaults.orphanTimeoutMs,
    'Maximum time that a request keeps running while its entry is disconnected',
  ),
  policyWaitMs: milliseconds(
    agentDefaults.policyWaitMs,
    'Maximum wait of a bind for a policy generation that the agent has not received',
  ),
  pingIntervalMs: milliseconds(
    agentDefaults.pingIntervalMs,
    'Time without sent messages after which a ping is sent to a peer',
  ),
  silenceTimeoutMs: milliseconds(
    agentDefaults.silenceTimeoutMs,
    'Time without received messages after which a connection is closed',
  ),
});

const logSection = z.strictObject({
  level: choice(['debug', 'info', 'warn', 'error'], 'info', 'Minimum log level'),
  decisions: choice(['on', 'off'], 'on', 'Whether each routing decision is logged'),
});

const metricsSection = z.strictObject({
  statsdHost: text('', 'StatsD host; empty disables sending metrics'),
  statsdPort: integer(8_125, 'port', 'StatsD port', 1, MAX_PORT),
  prefix: text('weirvale.', 'Prefix of all metric names'),
});

/** Sections, in the order of the reference page. */
export const SETTINGS_SECTIONS = {
  process: processSection,
  listen: listenSection,
  platform: platformSection,
  policy: policySection,
  entry: entrySection,
  agent: agentSection,
  log: logSection,
  metrics: metricsSection,
} as const;

/** Validates the settings of a daemon; absent sections get their defaults. */
export const settingsSchema = z.strictObject({
  process: processSection,
  listen: listenSection.prefault({}),
  platform: platformSection,
  policy: policySection.prefault({}),
  entry: entrySection.prefault({}),
  agent: agentSection.prefault({}),
  log: logSection.prefault({}),
  metrics: metricsSection.prefault({}),
});

/** Complete settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;
