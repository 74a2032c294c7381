import { BackendExits } from '../../src/gateway/backend-exits.js';
import { GatewayBackends } from '../../src/gateway/gateway-backends.js';
import type { GatewayBackendsDependencies } from '../../src/gateway/gateway-backends.js';
import { headerValue } from '../../src/http/header-value.js';
import type { Announcement } from '../../src/routing/backend-incarnations.js';
import type { KnownBackend } from '../../src/gateway/dispatch/known-backend.js';
import type { Backend } from '../../src/routing/backend.js';
import type { AgentSlotMessage } from '../../src/slot-agent/slot-messages.js';
import type { Route } from '../../src/routing/configuration.js';
import { backendOf } from './gateway-harness.js';
import { OpenGateway } from './open-gateway.js';
import type { RecordedReply } from './gateway-harness.js';
import { positionAt } from './store-positions.js';

/** Message of an agent whose engine serves. */
const SERVING = {
  kind: 'state',
  occupied: 0,
  messagesSeen: 0,
  speed: {},
  failureShare: 0,
  availability: 'open',
} as const;

/** A gateway core that reads announcements and gets the reports of agents. */
export class ExitHarness {
  readonly gateway: ExitGateway;
  readonly logged: Array<[string, Record<string, unknown>]> = [];
  /** Time as of which the view of the store was last confirmed, in milliseconds. */
  viewedAtMs = 0;
  private readonly backends: GatewayBackends;
  private readonly exits: BackendExits;
  private revision = 0;

  constructor(route: Route) {
    const gateway = new ExitGateway(route, (backendId) => this.exits.handleClosedPort(backendId));
    const { clock, directory, dispatcher } = gateway;
    this.gateway = gateway;
    const log = {
      write: (event: string, _kind: string, fields: Record<string, unknown>) =>
        void this.logged.push([event, fields]),
    };
    this.exits = new BackendExits({
      clock,
      directory,
      log,
      storeAgeMs: () => clock.now() - this.viewedAtMs,
      crashes: gateway.crashingRequests,
      requests: gateway.requests,
    });
    gateway.onUnannouncedProcess = (known) => this.exits.handleLaterProcess(known);
    const dependencies = {
      dispatcher,
      clock,
      log,
      unknownZones: { recordIfUnknown: () => false },
      refused: { clear: () => undefined, report: () => undefined },
      onIncarnationEnded: (backendId: string, successor: Backend) =>
        this.exits.handleSuccessor(backendId, successor),
    };
    this.backends = new GatewayBackends(dependencies as unknown as GatewayBackendsDependencies);
  }

  /** Applies the record of the backend `name`; undefined for its removal. */
  announce(name: string, changes: Partial<Announcement> | undefined): void {
    this.revision += 1;
    const position = positionAt(this.revision);
    const announcement: Announcement | undefined = changes && {
      ...backendOf(name, { slots: 8, ...changes, ...position }),
    };
    this.backends.applyRecord({ kind: 'backend', name: headerValue(name), announcement }, position);
  }

  /** Starts a request; returns the response to its caller. */
  request(): RecordedReply {
    return this.gateway.receive().reply;
  }

  /** Connects the agent of a backend. */
  connectAgent(backendId: string): void {
    this.gateway.dispatcher.connectAgent(backendId, this.gateway.clock.now());
  }

  /** Delivers a state message of the agent of a backend. */
  receiveState(backendId: string, changes: Partial<AgentSlotMessage>): void {
    const message = { ...SERVING, ...changes } as AgentSlotMessage;
    this.gateway.dispatcher.receiveFromAgent(backendId, message, this.gateway.clock.now());
  }
}

/** Passes the reports of agents on. */
class ExitGateway extends OpenGateway {
  onUnannouncedProcess: (known: KnownBackend) => void = () => undefined;

  constructor(
    route: Route,
    private readonly onClosedPort: (backendId: string) => void,
  ) {
    super([], route);
  }

  override onEnded(backendId: string): void {
    this.onClosedPort(backendId);
  }
}
