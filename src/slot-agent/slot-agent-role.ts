/** The agent beside one engine: its listener for gateways, and looks at the engine's own report. */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import type { Clock } from '../clock.js';
import { MessageChannel } from '../protocol/message-channel.js';
import { SlotLedger } from './slot-ledger.js';
import type { AgentToGateway, GatewayToAgent } from './slot-messages.js';

/** Reads how many requests run or wait at the engine; undefined when it does not answer. */
export type EngineReport = () => Promise<number | undefined>;

/** Times of an agent, in milliseconds. */
export interface SlotAgentOptions {
  /** Pause between two looks at the report while slots are unaccounted for. Default 60. */
  readonly reportMs: number;
  /** Pause between two messages that show that the agent lives. Default 600. */
  readonly beatMs: number;
}

/** Defaults of an agent. */
export const DEFAULT_SLOT_AGENT_OPTIONS: SlotAgentOptions = { reportMs: 60, beatMs: 600 };

/** The agent beside one engine. */
export class SlotAgentRole {
  private readonly server: Server;
  private readonly channels = new Map<number, MessageChannel<AgentToGateway, GatewayToAgent>>();
  private readonly ledger: SlotLedger;
  private nextConnection = 1;
  private isLooking = false;

  constructor(
    private readonly readReport: EngineReport,
    private readonly clock: Clock,
    private readonly options: SlotAgentOptions = DEFAULT_SLOT_AGENT_OPTIONS,
  ) {
    this.ledger = new SlotLedger((connection, message) =>
      this.channels.get(connection)?.send(message),
    );
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Listens for gateways. */
  start(host: string, port: number): void {
    this.server.listen(port, host);
    this.beat();
  }

  private accept(socket: Socket): void {
    const connection = this.nextConnection;
    this.nextConnection += 1;
    const channel = new MessageChannel<AgentToGateway, GatewayToAgent>(socket, {
      onMessage: (message) => this.ledger.receive(connection, message, this.clock.now()),
      onClose: () => {
        this.channels.delete(connection);
        this.ledger.disconnect(connection);
        this.lookWhileNeeded();
      },
    });
    this.channels.set(connection, channel);
  }

  private beat(): void {
    this.ledger.tellAll();
    this.clock.setTimeout(() => this.beat(), this.options.beatMs);
  }

  private lookWhileNeeded(): void {
    if (this.isLooking || !this.ledger.needsReport) {
      return;
    }
    this.isLooking = true;
    this.clock.setTimeout(() => void this.look(), this.options.reportMs);
  }

  private async look(): Promise<void> {
    const requestsAtEngine = await this.readReport();
    this.ledger.reconcile(requestsAtEngine ?? 0);
    this.isLooking = false;
    this.lookWhileNeeded();
  }
}
