/** Builds the simulated engines of an experiment and their slot agents. */
import { headerValue } from '../http/header-value.js';
import { NO_EPOCH } from '../cluster/store-position.js';
import type { Clock } from '../clock.js';
import type { RandomSource } from '../random.js';
import type { GatewayTimeoutOptions } from '../slot-agent/gateway-session.js';
import type { Backend } from '../routing/backend.js';
import { BatchEngine } from './batch-engine.js';
import type { Experiment } from './experiment.js';
import { SimulatedAgent } from './simulated-agent.js';

/** Service that all engines belong to. */
export const ENGINE_SERVICE = 'engines';

/** A simulated engine, its announcement and its slot agent. */
export interface SimulatedBackend {
  readonly backend: Backend;
  readonly engine: BatchEngine;
  readonly agent: SimulatedAgent;
}

/** Distributes processes over `zones` zones by their index. */
export function zoneForIndex(index: number, zones: number): string {
  return `zone-${index % zones}`;
}

/** Returns the speed factor at a quantile between 0 and 1; log-uniform without `slowShare`. */
function speedAt({ slowest, fastest, slowShare }: Experiment['fleet'], quantile: number): number {
  if (slowShare !== undefined) {
    return quantile < slowShare ? slowest : fastest;
  }
  return slowest * (fastest / slowest) ** quantile;
}

/** Store position of all engine announcements. */
const STORE_POSITION = { epoch: NO_EPOCH, revision: 1 };

/** Builds the engines with random speeds, by backend id. */
export function buildFleet(
  { fleet }: Experiment,
  clock: Clock,
  random: RandomSource,
  gatewayTimeouts?: GatewayTimeoutOptions,
): ReadonlyMap<string, SimulatedBackend> {
  const backends = new Map<string, SimulatedBackend>();
  for (let index = 0; index < fleet.engines; index += 1) {
    const speed = speedAt(fleet, random.next());
    const engine = new BatchEngine(clock, { ...fleet, speed }, random);
    const id = `engine-${index}`;
    const backend: Backend = {
      id,
      name: headerValue(id),
      bornAtMs: undefined,
      service: ENGINE_SERVICE,
      address: `10.0.${index >> 8}.${index & 255}:80`,
      zone: zoneForIndex(index, fleet.zones),
      version: '',
      slots: fleet.slots,
      state: 'ready',
      sequence: 1,
      remainingColdMs: 0,
      ...STORE_POSITION,
    };
    const agent = new SimulatedAgent(engine, clock, fleet.linkMs, gatewayTimeouts);
    backends.set(id, { backend, engine, agent });
  }
  return backends;
}
