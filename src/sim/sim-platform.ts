/** The platform as simulated processes reach it: with latency, outages, cuts and lost answers. */
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

/** The platform's place on the network. */
export const PLATFORM_ADDRESS: NetworkAddress = { name: 'platform', zone: 'platform' };

/** Who calls the platform, and how what comes back reaches it. */
export interface PlatformCaller {
  readonly address: NetworkAddress;
  /** Runs `callback` in the caller, unless it is gone. */
  deliver(callback: () => void): void;
}

/** The simulated platform. */
export class SimPlatform {
  readonly model: KeyValueModel;
  /** Added to every answer, in milliseconds. */
  slowMs = 0;
  /** Lag of the list of machines, in milliseconds. */
  listLagMs: number;
  private readonly machines = new Map<string, Machine>();
  private shownMachines: readonly Machine[] = [];

  constructor(
    readonly clock: VirtualClock,
    readonly network: SimNetwork,
    limits: KeyValueLimits,
    listLagMs: number,
  ) {
    this.model = new KeyValueModel(clock, limits);
    this.listLagMs = listLagMs;
  }

  /** Enters or changes a machine; the list shows it after its lag. */
  setMachine(machine: Machine): void {
    this.machines.set(machine.name, machine);
    const snapshot = [...this.machines.values()];
    this.clock.setTimeout(() => (this.shownMachines = snapshot), this.listLagMs);
  }

  /** Shows the list as it is, before anything runs. */
  settleList(): void {
    this.shownMachines = [...this.machines.values()];
  }

  /** The machines as the list shows them now. */
  listMachines(): readonly Machine[] {
    return this.shownMachines;
  }
}

/** The key-value service as one caller reaches it. */
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
          clock.notePromise();
        });
      clock.setTimeout(
        () => settle(err(new PlatformAnswerLostError('no answer in time'))),
        timeoutMs,
      );
      network.transmit(address, PLATFORM_ADDRESS, () => {
        if (!model.admit(kind)) {
          const refusal = err(new PlatformUnavailableError('down or over the rate'));
          network.transmit(PLATFORM_ADDRESS, address, () => settle(refusal));
          return;
        }
        void perform(model).then((value) => {
          clock.notePromise();
          if (kind === 'write' && model.consumeLostResponse()) {
            return;
          }
          const delayMs = network.latencyMs(PLATFORM_ADDRESS, address) + this.platform.slowMs;
          network.transmitAfter(PLATFORM_ADDRESS, address, delayMs, () => settle(ok(value)));
        });
        clock.notePromise();
      });
    });
  }
}
