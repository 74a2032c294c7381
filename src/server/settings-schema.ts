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
  return integer(0, 'port', `${description}; 0 lets the system choose`, 0, MAX_PORT);
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
  name: requiredText('Name of the entry, or name of the engine that the agent stands beside'),
  region: requiredText('Region of the machine'),
  zone: requiredText('Zone of the machine'),
  place: requiredText('Place (hall) of the machine'),
});

const listenSection = z.strictObject({
  address: text('127.0.0.1', 'Address that every listener binds to and that peers connect to'),
  protocolPort: port('Port for the protocol between processes (agent)'),
  callersPort: port("Port of the callers' interface (entry)"),
  operatorsPort: port('Port for health, readiness, status and explanations'),
  maxConnections: count(4_096, 'Most connections of one listener'),
  maxBodyBytes: bytes(4 * 1_048_576, "Longest body of a caller's request"),
  maxHeaderBytes: bytes(16_384, "Longest header of a caller's request"),
  headersTimeoutMs: milliseconds(10_000, 'Longest time for the header of a request'),
  requestTimeoutMs: milliseconds(30_000, 'Longest time for a whole request to arrive'),
  maxFrameBytes: bytes(16 * 1_048_576, 'Longest frame between processes'),
  connectTimeoutMs: milliseconds(3_000, 'Longest time for a connection and its handshake'),
});

const platformSection = z.strictObject({
  keyValueUrl: requiredText("Base URL of the platform's key-value service"),
  liveListUrl: requiredText("Base URL of the platform's list of machines"),
  timeoutMs: milliseconds(2_000, 'Longest time for one call of the platform'),
  liveListPollMs: milliseconds(2_000, 'Time between two reads of the list of machines'),
});

const policySection = z.strictObject({
  readersPerZone: count(
    DEFAULT_FOLLOWER_OPTIONS.readersPerZone,
    'Processes of a zone that keep a watch on the policy',
  ),
  watchMs: milliseconds(DEFAULT_FOLLOWER_OPTIONS.watchMs, 'Longest time that one watch waits'),
  pollMs: milliseconds(
    DEFAULT_FOLLOWER_OPTIONS.pollMs,
    'Time between two polls of a process that keeps no watch',
  ),
  retryMs: milliseconds(DEFAULT_FOLLOWER_OPTIONS.retryMs, 'First pause after a failed call'),
});

const entryDefaults = DEFAULT_ENTRY_OPTIONS;
const entrySection = z.strictObject({
  bidWidth: count(entryDefaults.bidWidth, 'Agents that a waiting request is offered to at once'),
  maxWaitingRequests: count(
    entryDefaults.maxWaitingRequests,
    'Most waiting requests; beyond it the lowest tier is shed',
  ),
  maxWaitingBytes: bytes(entryDefaults.maxWaitingBytes, 'Most bytes of waiting requests'),
  urgentSlackMs: milliseconds(
    entryDefaults.urgentSlackMs,
    'Slack before the latest start at which a request is offered everywhere',
  ),
  urgentGraceMs: milliseconds(
    entryDefaults.urgentGraceMs,
    'Shortest time that urgent bids stand before their request may be shed',
  ),
  resumeTimeoutMs: milliseconds(
    entryDefaults.resumeTimeoutMs,
    'How long a broken connection may take to come back before its answers are lost',
  ),
  pingIntervalMs: milliseconds(
    entryDefaults.pingIntervalMs,
    'Silence after which a peer is probed',
  ),
  silenceTimeoutMs: milliseconds(
    entryDefaults.silenceTimeoutMs,
    'Silence after which a connection is given up',
  ),
  reconnectMinMs: milliseconds(entryDefaults.reconnectMinMs, 'First pause before connecting again'),
  reconnectMaxMs: milliseconds(
    entryDefaults.reconnectMaxMs,
    'Longest pause before connecting again',
  ),
  agentsPerPool: count(
    entryDefaults.agentsPerPool,
    "Most agents connected to for one model and place of the entry's region",
  ),
  agentsPerRemotePool: count(
    entryDefaults.agentsPerRemotePool,
    'Most agents connected to for one model and place of another region',
  ),
  retryAfterMs: milliseconds(entryDefaults.retryAfterMs, 'Retry-After of refusals under overload'),
  noEngineGraceMs: milliseconds(
    entryDefaults.noEngineGraceMs,
    'How long a request waits while no permitted engine can be reached',
  ),
  defaultDeadlineMs: milliseconds(60_000, 'Deadline of a request that names none'),
  maxDeadlineMs: milliseconds(600_000, 'Longest deadline that a request may name'),
});

const agentDefaults = DEFAULT_AGENT_OPTIONS;
const agentSection = z.strictObject({
  backendUrl: text('', 'Base URL of the back end beside this agent'),
  backendKind: choice(['engine', 'service'], 'engine', 'What stands beside this agent'),
  capacity: count(agentDefaults.capacity, 'Requests that the back end runs at once'),
  maxPaused: count(agentDefaults.maxPaused, 'Paused requests that the back end can hold'),
  maxBids: count(agentDefaults.maxBids, 'Most bids held; beyond it the lowest tier is refused'),
  callTimeoutMs: milliseconds(agentDefaults.callTimeoutMs, 'How long a call waits for its bind'),
  preemptAfterMs: milliseconds(
    agentDefaults.preemptAfterMs,
    'How long a higher-tier bid waits before a lower tier makes room',
  ),
  permitLifetimeMs: integer(
    agentDefaults.permitLifetimeMs,
    'ms',
    'How long an entry may bind without a bid after a request of its ended; 0 for never',
    0,
    MAX_MS,
  ),
  answerRetentionMs: milliseconds(
    agentDefaults.answerRetentionMs,
    'How long a finished answer waits to be acknowledged',
  ),
  orphanTimeoutMs: milliseconds(
    agentDefaults.orphanTimeoutMs,
    'How long a request runs on while its entry is not connected',
  ),
  policyWaitMs: milliseconds(
    agentDefaults.policyWaitMs,
    'How long a bind waits for a policy generation not yet known',
  ),
  pingIntervalMs: milliseconds(
    agentDefaults.pingIntervalMs,
    'Silence after which a peer is probed',
  ),
  silenceTimeoutMs: milliseconds(
    agentDefaults.silenceTimeoutMs,
    'Silence after which a connection is given up',
  ),
});

const logSection = z.strictObject({
  level: choice(['debug', 'info', 'warn', 'error'], 'info', 'Lowest level that is logged'),
  decisions: choice(['on', 'off'], 'on', 'Whether each routing decision gets a line'),
});

const metricsSection = z.strictObject({
  statsdHost: text('', 'Host that metrics are sent to; empty sends none'),
  statsdPort: integer(8_125, 'port', 'Port that metrics are sent to', 1, MAX_PORT),
  prefix: text('weirvale.', 'Prefix of every metric name'),
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
