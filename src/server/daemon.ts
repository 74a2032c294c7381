/**
 * Shared by both roles of the daemon: identity, tick, platform client, operator API and graceful
 * shutdown.
 */
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
import { createOperatorServer } from './operator-server.js';
import { PlatformClient } from './platform-client.js';
import type { Settings } from './settings-schema.js';
import { Telemetry } from './telemetry.js';

/** Interval between two ticks of a role, in milliseconds. */
const TICK_MS = 50;
const MAX_SEED = 2 ** 31;
const INCARNATION_BYTES = 6;

/** Listening ports of a started daemon; undefined for a listener that its role does not have. */
export interface DaemonPorts {
  readonly operators: number;
  readonly callers: number | undefined;
  readonly protocol: number | undefined;
}

/** The role-specific part of a daemon. */
export interface DaemonRole {
  readonly replica: PolicyReplica;
  /** Starts the role's listeners. */
  listen(): Promise<Result<Omit<DaemonPorts, 'operators'>, ListenError>>;
  onFleet(machines: readonly Machine[]): void;
  onPolicy(update: PolicyUpdate): void;
  onTick(): void;
  /**
   * Stops accepting requests; calls `onDrained` once the last request has ended and, for an agent,
   * every connected entry has acknowledged that it leaves.
   */
  drain(onDrained: () => void): void;
  isReady(): boolean;
  status(): object;
  close(): void;
}

/** Dependencies of every role. */
export interface DaemonContext {
  readonly settings: Settings;
  readonly identity: ProcessIdentity;
  readonly random: RandomSource;
  readonly telemetry: Telemetry;
  readonly keyValue: KeyValueClient;
}

/** Creates the dependencies of a role from its settings. */
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

/** A daemon of either role. */
export class Daemon {
  private readonly platformClient: PlatformClient;
  private readonly operatorServer: Server;
  private tickInterval: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: DaemonContext,
    private readonly role: DaemonRole,
  ) {
    const { settings, identity, random } = context;
    const { platform, policy } = settings;
    this.operatorServer = createOperatorServer({
      replica: role.replica,
      isReady: () => role.isReady(),
      status: () => this.status(),
    });
    this.platformClient = new PlatformClient({
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

  /** Starts every listener, then registers the process with the platform. */
  async start(): Promise<Result<DaemonPorts, ListenError>> {
    const { settings, telemetry } = this.context;
    const rolePorts = await this.role.listen();
    if (!rolePorts.ok) {
      return err(rolePorts.val);
    }
    const { address, operatorsPort } = settings.listen;
    const operatorsListening = await listen(this.operatorServer, address, operatorsPort);
    if (!operatorsListening.ok) {
      this.role.close();
      return err(operatorsListening.val);
    }
    const ports: DaemonPorts = { ...rolePorts.val, operators: operatorsListening.val };
    this.platformClient.start(this.describeMachine(ports));
    this.tickInterval = setInterval(() => this.role.onTick(), TICK_MS);
    telemetry.log.info({ ports, incarnation: this.context.identity.incarnation }, 'started');
    return ok(ports);
  }

  /**
   * Shuts down gracefully: accepts no new requests, waits until the running ones end, closes
   * everything and calls `onDrained`.
   */
  drain(onDrained: () => void): void {
    this.context.telemetry.log.info('leaving');
    void this.platformClient.announceLeaving();
    this.role.drain(() => {
      this.context.telemetry.log.info('left');
      this.close();
      onDrained();
    });
  }

  /** Closes listeners and connections immediately, without draining. */
  close(): void {
    clearInterval(this.tickInterval);
    this.platformClient.stop();
    this.operatorServer.close();
    this.operatorServer.closeAllConnections();
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
