/** The simulated platform, reached with latency, outages, partitions and lost responses. */
import { PlatformAnswerLostError, PlatformUnavailableError } from '../key-value/errors.js';
import type { PlatformError } from '../key-value/errors.js';
import type {
  KeyValueClient,
  KeyValueEntry,
  LeaseGrant,
  SwapOutcome,
} from '../key-value/key-value.js';
import type { Machine } from '../membership/machine.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { KeyValueModel } from '../standin/key-value-model.js';
import type { KeyValueCallKind, KeyValueLimits } from '../standin/key-value-model.js';
import type { NetworkAddress, SimNetwork } from './sim-network.js';
import type { VirtualClock } from './virtual-clock.js';

/** Network address of the platform. */
export const PLATFORM_ADDRESS: NetworkAddress = { name: 'platform', zone: 'platform' };

/** Address of a platform client and how responses are delivered to it. */
export interface PlatformCaller {
  readonly address: NetworkAddress;
  /** Runs `callback` in the caller; drops it if the calling process has ended. */
  deliver(callback: () => void): void;
}

/** Key-value service and machine list of the simulated platform. */
export class SimPlatform {
  readonly model: KeyValueModel;
  /** Added to the latency of every key-value response except refusals, in milliseconds. */
  extraLatencyMs = 0;
  /** Delay until a change appears in the machine list, in milliseconds. */
  listLagMs: number;
  private readonly machines = new Map<string, Machine>();
  private listedMachines: readonly Machine[] = [];

  constructor(
    readonly clock: VirtualClock,
    readonly network: SimNetwork,
    limits: KeyValueLimits,
    listLagMs: number,
  ) {
    this.model = new KeyValueModel(clock, limits);
    this.listLagMs = listLagMs;
  }

  /** Adds or changes a machine; the list shows the change after `listLagMs`. */
  setMachine(machine: Machine): void {
    this.machines.set(machine.name, machine);
    const snapshot = [...this.machines.values()];
    this.clock.setTimeout(() => (this.listedMachines = snapshot), this.listLagMs);
  }

  /** Publishes the current machine list without the lag, before the simulation starts. */
  publishListNow(): void {
    this.listedMachines = [...this.machines.values()];
  }

  /** Returns the machines in the published list. */
  listMachines(): readonly Machine[] {
    return this.listedMachines;
  }
}

/** Client of the simulated key-value service. */
export class SimKeyValueClient implements KeyValueClient {
  constructor(
    private readonly platform: SimPlatform,
    private readonly caller: PlatformCaller,
    private readonly timeoutMs: number,
  ) {}

  get(key: string): Promise<Result<KeyValueEntry | undefined, PlatformError>> {
    return this.call('read', this.timeoutMs, (model) => Promise.resolve(model.get(key)));
  }

  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: unknown,
  ): Promise<Result<SwapOutcome, PlatformError>> {
    const copy: unknown = JSON.parse(JSON.stringify(value));
    return this.call('write', this.timeoutMs, (model) =>
      Promise.resolve(model.compareAndSwap(key, expectedRevision, copy)),
    );
  }

  watch(
    key: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>> {
    return this.call('watch', waitMs + this.timeoutMs, (model) =>
      model.watch(key, afterRevision, waitMs),
    );
  }

  acquireLease(
    name: string,
    holder: string,
    durationMs: number,
  ): Promise<Result<LeaseGrant | undefined, PlatformError>> {
    return this.call('write', this.timeoutMs, (model) =>
      Promise.resolve(model.acquireLease(name, holder, durationMs)),
    );
  }

  private call<Value>(
    kind: KeyValueCallKind,
    timeoutMs: number,
    perform: (model: KeyValueModel) => Promise<Value>,
  ): Promise<Result<Value, PlatformError>> {
    const { clock, network, model } = this.platform;
    const { address } = this.caller;
    return new Promise((resolve) => {
      const settle = (result: Result<Value, PlatformError>) =>
        this.caller.deliver(() => {
          resolve(result);
          clock.markPromiseSettled();
        });
      clock.setTimeout(
        () => settle(err(new PlatformAnswerLostError('no response before the timeout'))),
        timeoutMs,
      );
      network.transmit(address, PLATFORM_ADDRESS, () => {
        if (!model.admit(kind)) {
          const refusal = err(
            new PlatformUnavailableError('service is down or the rate limit is exceeded'),
          );
          network.transmit(PLATFORM_ADDRESS, address, () => settle(refusal));
          return;
        }
        void perform(model).then((value) => {
          clock.markPromiseSettled();
          if (kind === 'write' && model.consumeLostResponse()) {
            return;
          }
          const delayMs =
            network.latencyMs(PLATFORM_ADDRESS, address) + this.platform.extraLatencyMs;
          network.transmitAfter(PLATFORM_ADDRESS, address, delayMs, () => settle(ok(value)));
        });
        clock.markPromiseSettled();
      });
    });
  }
}
