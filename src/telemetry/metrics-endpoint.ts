/**
 * Serves the metrics of one process in the Prometheus text format.
 *
 * The metrics library is loaded after startup, since loading it would delay startup; updates
 * recorded before then are queued.
 */
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';

/** Counters, gauges and histograms of a process. */
export interface Instruments {
  readonly registry: Registry;
}

/** Updates that are queued until the library is loaded; further ones are dropped. */
const MAX_PENDING_UPDATES = 20_000;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Records and serves the metrics of one process. */
export class MetricsEndpoint<T extends Instruments> {
  private instruments: T | undefined;
  private server: Server | undefined;
  private pendingUpdates: Array<(instruments: T) => void> = [];

  /** Applies an update to the metrics, or queues it until they are loaded. */
  record(update: (instruments: T) => void): void {
    if (this.instruments !== undefined) {
      update(this.instruments);
    } else if (this.pendingUpdates.length < MAX_PENDING_UPDATES) {
      this.pendingUpdates.push(update);
    }
  }

  /** Serves the metrics on `port`, under every path. */
  serve(host: string, port: number): void {
    this.server = createServer((_request, response) => void this.respond(response));
    this.server.on('error', () => undefined);
    this.server.listen(port, host);
  }

  /** Stops serving and closes all connections. */
  close(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  /** Sets the loaded instruments and applies the queued updates. */
  protected setInstruments(instruments: T): void {
    this.instruments = instruments;
    for (const update of this.pendingUpdates) {
      update(instruments);
    }
    this.pendingUpdates = [];
  }

  private async respond(response: ServerResponse): Promise<void> {
    if (this.instruments === undefined) {
      response.writeHead(HTTP_UNAVAILABLE);
      response.end();
      return;
    }
    const { registry } = this.instruments;
    const text = await registry.metrics();
    response.writeHead(HTTP_OK, { 'Content-Type': registry.contentType });
    response.end(text);
  }
}
