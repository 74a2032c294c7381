/** The engines of an experiment and the agents beside them. */
import { NO_EPOCH } from '../cluster/store-position.js';
import type { Clock } from '../clock.js';
import type { RandomSource } from '../random.js';
import type { GatewayTimeoutOptions } from '../slot-agent/gateway-account.js';
import type { Backend } from '../routing/backend.js';
import { BatchEngine } from './batch-engine.js';
import type { Experiment } from './experiment.js';
import { ModelAgent } from './model-agent.js';

/** Name of the service that every engine belongs to. */
export const ENGINE_SERVICE = 'engines';

/** One engine, its announcement and its agent. */
export interface ModelBackend {
  readonly backend: Backend;
  readonly engine: BatchEngine;
  readonly agent: ModelAgent;
}

/** The zone of the nth of several processes. */
export function zoneOf(index: number, zones: number): string {
  return `zone-${index % zones}`;
}

function drawSpeed({ slowest, fastest, slowShare }: Experiment['fleet'], draw: number): number {
  if (slowShare !== undefined) {
    return draw < slowShare ? slowest : fastest;
  }
  return slowest * (fastest / slowest) ** draw;
}

/** Where announcements of the model's engines stand in a store. */
const MODEL_POSITION = { epoch: NO_EPOCH, revision: 1 };

/** Builds the engines; their speeds are drawn between the slowest and the fastest. */
export function buildFleet(
  { fleet }: Experiment,
  clock: Clock,
  random: RandomSource,
  gatewaySilence?: GatewayTimeoutOptions,
): ReadonlyMap<string, ModelBackend> {
  const backends = new Map<string, ModelBackend>();
  for (let index = 0; index < fleet.engines; index += 1) {
    const speed = drawSpeed(fleet, random.next());
    const engine = new BatchEngine(clock, { ...fleet, speed }, random);
    const id = `engine-${index}`;
    const backend: Backend = {
      id,
      name: id,
      bornAtMs: undefined,
      service: ENGINE_SERVICE,
      address: `10.0.${index >> 8}.${index & 255}:80`,
      zone: zoneOf(index, fleet.zones),
      version: '',
      slots: fleet.slots,
      state: 'ready',
      sequence: 1,
      remainingColdMs: 0,
      ...MODEL_POSITION,
    };
    const agent = new ModelAgent(engine, clock, fleet.linkMs, gatewaySilence);
    backends.set(id, { backend, engine, agent });
  }
  return backends;
}
