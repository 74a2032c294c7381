/**
 * Counters and histograms of a gateway, served as text.
 *
 * Their library is loaded after the start, which it would lengthen; what is
 * recorded before then is kept.
 */
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { GatewaySnapshot } from './gateway-snapshot.js';
import type { MetricInstruments } from './metric-instruments.js';
import type { AcceptedRequest, RequestEnd } from './request-model.js';

/** Changes the instruments. */
export type MetricUpdate = (instruments: MetricInstruments) => void;

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Counters and histograms of a gateway. */
export class GatewayMetrics {
  private instruments: MetricInstruments | undefined;
  private server: Server | undefined;
  private updatesBeforeLoad: MetricUpdate[] = [];

  /** Records something. */
  record(update: MetricUpdate): void {
    if (this.instruments === undefined) {
      this.updatesBeforeLoad.push(update);
    } else {
      update(this.instruments);
    }
  }

  /** Records how a request ended. */
  recordEnd(request: AcceptedRequest, end: RequestEnd): void {
    this.record((instruments) => instruments.recordEnd(request, end));
  }

  /** Loads the library and records what was kept; `readSnapshot` is asked for each reading. */
  async load(readSnapshot: () => GatewaySnapshot): Promise<void> {
    const loaded = await import('./metric-instruments.js');
    this.instruments = new loaded.MetricInstruments(readSnapshot);
    for (const update of this.updatesBeforeLoad) {
      update(this.instruments);
    }
    this.updatesBeforeLoad = [];
  }

  /** Serves the metrics on every path of `port`. */
  serve(host: string, port: number): void {
    this.server = createServer((_request, response) => void this.answer(response));
    this.server.on('error', () => undefined);
    this.server.listen(port, host);
  }

  /** Serves the metrics no longer. */
  close(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private async answer(response: ServerResponse): Promise<void> {
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
