/**
 * Runs a gateway or slot agent as a process: settings, signals and log. Called by the platform's main
 * module, which supplies the adapter.
 */
import { readFileSync } from 'node:fs';
import { SYSTEM_CLOCK } from '../clock.js';
import type { GatewayAdapter } from '../gateway/gateway-adapter.js';
import { GatewayMetrics } from '../gateway/metrics/gateway-metrics.js';
import { GatewayRole } from '../gateway/gateway-role.js';
import { parseGatewaySettings } from '../gateway/gateway-settings.js';
import type { GatewaySettings } from '../gateway/gateway-settings.js';
import { SeededRandom } from '../random.js';
import { err } from '../result.js';
import type { Result } from '../result.js';
import { ZoneTopology } from '../routing/zone-topology.js';
import { SlotAgentMetrics } from '../slot-agent/slot-agent-metrics.js';
import { SlotAgentRole } from '../slot-agent/slot-agent-role.js';
import type { EngineProbe } from '../slot-agent/slot-agent-role.js';
import { DecisionLog } from '../telemetry/decision-log.js';

/** Platform-specific dependencies of a process. */
export interface ProcessDependencies {
  /** Path of the settings file. */
  readonly settingsPath: string;
  /** Creates the adapter for the platform whose store is at `storeAddress` (IP:PORT). */
  createAdapter(storeAddress: string, storeTimeoutMs: number): GatewayAdapter;
  /** Creates the probe of the engine at `address` (IP:PORT). */
  createEngineProbe(address: string): EngineProbe;
}

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;
const SEED_RANGE = 2 ** 31;

/** Runs the role that the settings select; exits with status 2 if the settings are invalid. */
export function runProcess(dependencies: ProcessDependencies): void {
  const { settingsPath } = dependencies;
  const settings = readSettings(settingsPath);
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
  process.on('uncaughtException', (error, origin) => endAfterError(error, origin, log));
  process.on('SIGHUP', () => checkChangedSettings(settingsPath, log));
  if (role === 'gateway') {
    startGateway(settings.val, dependencies, log);
  } else {
    startSlotAgent(settings.val, dependencies, log);
  }
}

/**
 * Ends the process after an exception outside the processing of a request: shared state may be half
 * changed, and the platform starts the process again.
 */
function endAfterError(error: Error, origin: string, log: DecisionLog): void {
  const { message, stack } = error;
  log.writeLast('process-failed', { reason: message, origin, stack });
  process.exit(EXIT_FAILED);
}

function startGateway(
  settings: GatewaySettings,
  dependencies: ProcessDependencies,
  log: DecisionLog,
): void {
  const { store, storeTimeoutMs } = settings.cluster;
  const gateway = new GatewayRole({
    settings,
    adapter: dependencies.createAdapter(store, storeTimeoutMs),
    createEngineProbe: dependencies.createEngineProbe,
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

function startSlotAgent(
  settings: GatewaySettings,
  dependencies: ProcessDependencies,
  log: DecisionLog,
): void {
  const { process: self, places, cluster, engine, listen, limits } = settings;
  const { decode } = dependencies.createAdapter(cluster.store, cluster.storeTimeoutMs);
  const agent = new SlotAgentRole({
    identity: {
      name: self.name,
      engine: { address: engine.address, zone: self.zone },
      seeds: cluster.seeds,
    },
    places: new ZoneTopology(places.zones),
    limits,
    decode,
    probeEngine: dependencies.createEngineProbe(engine.address),
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

/**
 * Validates the settings file again and logs the result. The running process keeps its settings,
 * since addresses and ports are fixed for its lifetime.
 */
function checkChangedSettings(path: string, log: DecisionLog): void {
  const settings = readSettings(path);
  if (settings.ok) {
    log.write('settings-reloaded', 'state');
  } else {
    log.write('settings-refused', 'state', { problem: settings.val.message });
  }
}

/** Reads and validates the settings file; one that cannot be read is an error like an invalid one. */
function readSettings(path: string): Result<GatewaySettings, { readonly message: string }> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (cause) {
    return err({ message: cause instanceof Error ? cause.message : String(cause) });
  }
  return parseGatewaySettings(text);
}
