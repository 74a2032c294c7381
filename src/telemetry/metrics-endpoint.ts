/**
 * Serves the metrics of one process as text.
 *
 * The metrics' library is loaded after the start, which it would lengthen; what is
 * recorded before then is kept.
 */
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';

/** The counters, gauges and histograms of a process. */
export interface Instruments {
  readonly registry: Registry;
}

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Records and serves the metrics of one process. */
export class MetricsEndpoint<Kind extends Instruments> {
  private instruments: Kind | undefined;
  private server: Server | undefined;
  private updatesBeforeLoad: Array<(instruments: Kind) => void> = [];

  /** Records something. */
  record(update: (instruments: Kind) => void): void {
    if (this.instruments === undefined) {
      this.updatesBeforeLoad.push(update);
    } else {
      update(this.instruments);
    }
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

  /** Takes the instruments once they are loaded, and records in them what was kept. */
  protected use(instruments: Kind): void {
    this.instruments = instruments;
    for (const update of this.updatesBeforeLoad) {
      update(instruments);
    }
    this.updatesBeforeLoad = [];
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
