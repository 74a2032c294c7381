/** What both roles of the daemon share: identity, tick, platform, operators' interface, orderly exit. */
import { randomBytes, randomInt } from 'node:crypto';
import type { Server } from 'node:http';
import { SYSTEM_CLOCK } from '../clock.js';
import type { Machine, ProcessIdentity } from '../membership/machine.js';
import { HttpKeyValueClient } from '../key-value/http-key-value.js';
import { HttpLiveListClient } from '../key-value/http-live-list.js';
import type { KeyValueClient } from '../key-value/key-value.js';
import type { PolicyReplica, PolicyUpdate } from '../policy/replica.js';
import { SeededRandom } from '../random.js';
import type { RandomSource } from '../random.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { listen } from './listen.js';
import type { ListenError } from './listen.js';
import { createOperatorsServer } from './operators-server.js';
import { PlatformLink } from './platform-link.js';
import type { Settings } from './settings-schema.js';
import { Telemetry } from './telemetry.js';

/** Time between two ticks of a core, in milliseconds. */
const TICK_MS = 50;
const MAX_SEED = 2 ** 31;
const INCARNATION_BYTES = 6;

/** Ports that a started daemon listens on; undefined for a listener its role does not have. */
export interface DaemonPorts {
  readonly operators: number;
  readonly callers: number | undefined;
  readonly protocol: number | undefined;
}

/** What a role adds to the common parts. */
export interface DaemonRole {
  readonly replica: PolicyReplica;
  /** Starts the role's own listeners. */
  listen(): Promise<Result<Omit<DaemonPorts, 'operators'>, ListenError>>;
  onFleet(machines: readonly Machine[]): void;
  onPolicy(update: PolicyUpdate): void;
  onTick(): void;
  /** Takes no new work; `onLeft` is called once the last request is done. */
  leave(onLeft: () => void): void;
  isReady(): boolean;
  status(): object;
  close(): void;
}

/** What every role is given. */
export interface DaemonContext {
  readonly settings: Settings;
  readonly identity: ProcessIdentity;
  readonly random: RandomSource;
  readonly telemetry: Telemetry;
  readonly keyValue: KeyValueClient;
}

/** Creates the parts that every role is given. */
export function createDaemonContext(settings: Settings): DaemonContext {
  const { name, region, zone, place } = settings.process;
  const incarnation = `${name}.${randomBytes(INCARNATION_BYTES).toString('hex')}`;
  return {
    settings,
    identity: { name, region, zone, place, incarnation },
    random: new SeededRandom(randomInt(MAX_SEED)),
    telemetry: new Telemetry(settings),
    keyValue: new HttpKeyValueClient(settings.platform.keyValueUrl, settings.platform.timeoutMs),
  };
}

/** One running daemon of either role. */
export class Daemon {
  private readonly link: PlatformLink;
  private readonly operators: Server;
  private ticker: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: DaemonContext,
    private readonly role: DaemonRole,
  ) {
    const { settings, identity, random } = context;
    const { platform, policy } = settings;
    this.operators = createOperatorsServer({
      replica: role.replica,
      isReady: () => role.isReady(),
      status: () => this.status(),
    });
    this.link = new PlatformLink({
      keyValue: context.keyValue,
      liveList: new HttpLiveListClient(platform.liveListUrl, platform.timeoutMs),
      clock: SYSTEM_CLOCK,
      random,
      identity,
      followerOptions: policy,
      liveListPollMs: platform.liveListPollMs,
      currentGeneration: () => role.replica.generation,
      onFleet: (machines) => role.onFleet(machines),
      onPolicy: (update) => role.onPolicy(update),
    });
  }

  /** Starts every listener, then the dealings with the platform. */
  async start(): Promise<Result<DaemonPorts, ListenError>> {
    const { settings, telemetry } = this.context;
    const rolePorts = await this.role.listen();
    if (!rolePorts.ok) {
      return err(rolePorts.val);
    }
    const { address, operatorsPort } = settings.listen;
    const operators = await listen(this.operators, address, operatorsPort);
    if (!operators.ok) {
      this.role.close();
      return err(operators.val);
    }
    const ports: DaemonPorts = { ...rolePorts.val, operators: operators.val };
    this.link.start(this.describeMachine(ports));
    this.ticker = setInterval(() => this.role.onTick(), TICK_MS);
    telemetry.log.info({ ports, incarnation: this.context.identity.incarnation }, 'started');
    return ok(ports);
  }

  /** Leaves in good order: no new work, running requests end, then `onLeft`. */
  leave(onLeft: () => void): void {
    this.context.telemetry.log.info('leaving');
    void this.link.announceLeaving();
    this.role.leave(() => {
      this.context.telemetry.log.info('left');
      this.close();
      onLeft();
    });
  }

  /** Ends everything at once. */
  close(): void {
    clearInterval(this.ticker);
    this.link.stop();
    this.operators.close();
    this.operators.closeAllConnections();
    this.role.close();
    this.context.telemetry.close();
  }

  private describeMachine(ports: DaemonPorts): Machine {
    const { process, listen: listenSettings } = this.context.settings;
    return {
      name: process.name,
      role: process.role,
      region: process.region,
      zone: process.zone,
      place: process.place,
      address: listenSettings.address,
      port: ports.protocol ?? ports.callers ?? 0,
      state: 'live',
    };
  }

  private status(): object {
    const { identity, telemetry } = this.context;
    return {
      identity,
      generation: this.role.replica.generation,
      ready: this.role.isReady(),
      counters: Object.fromEntries([...telemetry.counters].sort()),
      ...this.role.status(),
    };
  }
}
