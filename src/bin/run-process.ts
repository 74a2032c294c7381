/** Runs one gateway or slot agent as a process: settings, signals, log. The platform's adapter starts it. */
import { readFileSync } from 'node:fs';
import { SYSTEM_CLOCK } from '../clock.js';
import type { GatewayAdapter } from '../gateway/gateway-adapter.js';
import { GatewayMetrics } from '../gateway/metrics/gateway-metrics.js';
import { GatewayRole } from '../gateway/gateway-role.js';
import { parseGatewaySettings } from '../gateway/gateway-settings.js';
import type { GatewaySettings } from '../gateway/gateway-settings.js';
import { SeededRandom } from '../random.js';
import { ZoneTopology } from '../routing/places.js';
import { SlotAgentMetrics } from '../slot-agent/slot-agent-metrics.js';
import { SlotAgentRole } from '../slot-agent/slot-agent-role.js';
import type { EngineProbe } from '../slot-agent/slot-agent-role.js';
import { DecisionLog } from '../telemetry/decision-log.js';

/** What a platform supplies to a process. */
export interface ProcessParts {
  /** File of the settings. */
  readonly settingsPath: string;
  /** Makes the adapter to the platform whose store is at `storeAddress` (IP:PORT). */
  createAdapter(storeAddress: string, storeTimeoutMs: number): GatewayAdapter;
  /** Makes the look at the report of the engine at `address` (IP:PORT). */
  createEngineReport(address: string): EngineProbe;
}

const EXIT_BAD_SETTINGS = 2;
const SEED_RANGE = 2 ** 31;

/** Runs the role that the settings name; the process ends with status 2 if they cannot be used. */
export function runProcess(parts: ProcessParts): void {
  const { settingsPath } = parts;
  const settings = parseGatewaySettings(readFileSync(settingsPath, 'utf8'));
  if (!settings.ok) {
    process.stderr.write(`${settingsPath}:\n${settings.val.message}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
  const { role, name, zone } = settings.val.process;
  const log = new DecisionLog(
    { role, process: name, zone },
    settings.val.log.linesPerS,
    SYSTEM_CLOCK,
  );
  process.on('SIGHUP', () => reload(settingsPath, log));
  if (role === 'gateway') {
    startGateway(settings.val, parts, log);
  } else {
    startSlotAgent(settings.val, parts, log);
  }
}

function startGateway(settings: GatewaySettings, parts: ProcessParts, log: DecisionLog): void {
  const { store, storeTimeoutMs } = settings.cluster;
  const gateway = new GatewayRole({
    settings,
    adapter: parts.createAdapter(store, storeTimeoutMs),
    clock: SYSTEM_CLOCK,
    random: createRandom(),
    log,
    metrics: new GatewayMetrics(),
  });
  gateway.start();
  process.on('SIGTERM', () => gateway.stop(() => process.exit(0)));
}

function createRandom(): SeededRandom {
  return new SeededRandom(Math.floor(Math.random() * SEED_RANGE));
}

function startSlotAgent(settings: GatewaySettings, parts: ProcessParts, log: DecisionLog): void {
  const { process: self, places, cluster, engine, listen, limits } = settings;
  const { decode } = parts.createAdapter(cluster.store, cluster.storeTimeoutMs);
  const agent = new SlotAgentRole({
    identity: {
      name: self.name,
      engine: { address: engine.address, zone: self.zone },
      seeds: cluster.seeds,
    },
    places: new ZoneTopology(places.zones),
    limits,
    decode,
    probeEngine: parts.createEngineReport(engine.address),
    clock: SYSTEM_CLOCK,
    random: createRandom(),
    log,
    metrics: new SlotAgentMetrics(),
  });
  const { slotAgentPort: port, metricsPort } = listen;
  agent.start({ host: self.address, port, metricsPort });
  process.on('SIGTERM', () => {
    agent.stop();
    setImmediate(() => process.exit(0));
  });
}

/** Addresses and ports hold for the life of a process; a changed file is checked and noted. */
function reload(path: string, log: DecisionLog): void {
  const settings = parseGatewaySettings(readFileSync(path, 'utf8'));
  if (settings.ok) {
    log.write('settings-reloaded', 'state');
  } else {
    log.write('settings-refused', 'state', { problem: settings.val.message });
  }
}
