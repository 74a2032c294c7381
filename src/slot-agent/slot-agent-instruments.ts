/** Prometheus counters and gauges of a slot agent. */
import { Counter, Gauge, Registry } from 'prom-client';

/** Values of the gauges, read at each scrape. */
export interface SlotAgentSnapshot {
  readonly slots: number;
  readonly occupied: number;
  /** Occupied slots whose requests no connected gateway accounts for. */
  readonly unaccounted: number;
  readonly gateways: number;
}

/** Metrics registry of a slot agent. */
export class SlotAgentInstruments {
  readonly registry = new Registry();
  readonly grants = new Counter({
    name: 'weirvale_slot_grants_total',
    help: 'Slots granted to gateways',
    registers: [this.registry],
  });
  readonly grantsHeldBack = new Counter({
    name: 'weirvale_grants_held_back_total',
    help: 'Times that a request waited beside a free slot for the rate at which requests may begin',
    registers: [this.registry],
  });
  readonly gatewaysEnded = new Counter({
    name: 'weirvale_slot_gateways_ended_total',
    help: 'Connections of gateways that the agent ended, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  readonly slotsReconciled = new Counter({
    name: 'weirvale_slots_reconciled_total',
    help: 'Slots of gateways that are gone which the report of the engine showed to be free',
    registers: [this.registry],
  });
  readonly reportsFailed = new Counter({
    name: 'weirvale_engine_reports_failed_total',
    help: 'Reports that the engine did not give',
    registers: [this.registry],
  });
  readonly availabilityChanges = new Counter({
    name: 'weirvale_engine_changes_total',
    help: 'Changes of whether gateways may use the engine, by what it was changed to',
    labelNames: ['availability'],
    registers: [this.registry],
  });

  readonly forbiddenTakes = new Counter({
    name: 'weirvale_slots_taken_forbidden_total',
    help: 'Slots that gateways took for requests that operators keep from the engine, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  constructor(read: () => SlotAgentSnapshot) {
    this.gauge('weirvale_slots', 'Slots of the engine', () => read().slots);
    this.gauge('weirvale_slots_occupied', 'Slots believed to be taken', () => read().occupied);
    this.gauge(
      'weirvale_slots_unaccounted',
      'Slots taken by requests that no connected gateway accounts for',
      () => read().unaccounted,
    );
    this.gauge('weirvale_slot_gateways', 'Connected gateways', () => read().gateways);
  }

  private gauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }
}
