/** Sends the attempts of a gateway to simulated engines, in place of HTTP connections. */
import type { Clock } from '../clock.js';
import type {
  AttemptFailure,
  AttemptHandle,
  AttemptHandlers,
  BackendSender,
  OutgoingAttempt,
} from '../gateway/attempt/attempt.js';
import type { BatchJob } from './batch-engine.js';
import type { SimulatedBackend } from './simulated-fleet.js';

/** Request headers that carry the prompt length and the number of events to the engine. */
export const SIZE_HEADERS = { promptTokens: 'prompt-tokens', events: 'events' } as const;
/** Header of a response whose engine did not execute the request. */
export const NOT_EXECUTED_HEADER = 'not-run';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const EVENT_DATA = 'data: x\n\n';

/** Returns the value of a header from a list of alternating names and values. */
export function readHeader(headers: readonly string[], name: string): string | undefined {
  const index = headers.indexOf(name);
  return index < 0 ? undefined : headers[index + 1];
}

/** Transport from a simulated gateway to the simulated engines. */
export class SimulatedBackendSender implements BackendSender {
  private readonly handles = new Set<AttemptHandle>();

  constructor(
    private readonly backends: ReadonlyMap<string, SimulatedBackend>,
    private readonly clock: Clock,
    /** One-way network latency to an engine, in milliseconds. */
    private readonly linkMs: number,
  ) {}

  /** Cancels every attempt after a power loss; the engines drop the requests. */
  cancelAll(): void {
    for (const handle of [...this.handles]) {
      handle.cancel();
    }
  }

  send(attempt: OutgoingAttempt, handlers: AttemptHandlers): AttemptHandle {
    const { engine } = this.backends.get(attempt.backend.id)!;
    let isCancelled = false;
    const handle: AttemptHandle = {
      cancel: () => {
        isCancelled = true;
        this.handles.delete(handle);
        this.clock.setTimeout(() => engine.cancel(job), this.linkMs);
      },
      discardForeignResponse: () => handle.cancel(),
      withdraw: () => false,
      pause: () => undefined,
      resume: () => undefined,
    };
    this.handles.add(handle);
    const deliver = (action: () => void) =>
      this.clock.setTimeout(() => {
        if (!isCancelled) {
          action();
        }
      }, this.linkMs);
    const end = (action: () => void) =>
      deliver(() => {
        this.handles.delete(handle);
        action();
      });
    const job: BatchJob = {
      promptTokens: Number(readHeader(attempt.headers, SIZE_HEADERS.promptTokens)),
      events: Number(readHeader(attempt.headers, SIZE_HEADERS.events)),
      onEvent: (number) => deliver(() => deliverEvent(handlers, number)),
      onEnd: () => end(() => handlers.onEnd()),
      onAborted: () => end(() => handlers.onFailure(CONNECTION_RESET)),
    };
    this.clock.setTimeout(() => {
      if (isCancelled) {
        return;
      }
      if (!engine.isUp) {
        end(() => handlers.onFailure(CONNECTION_REFUSED));
      } else if (!engine.submit(job)) {
        end(() => deliverNotExecuted(handlers));
      }
    }, this.linkMs);
    return handle;
  }
}

const CONNECTION_RESET: AttemptFailure = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };
const CONNECTION_REFUSED: AttemptFailure = {
  mayHaveRun: false,
  isPortClosed: true,
  detail: 'refused',
};

function deliverEvent(handlers: AttemptHandlers, number: number): void {
  if (number === 1) {
    handlers.onHead({ status: HTTP_OK, rawHeaders: [], headers: {} });
  }
  handlers.onData(Buffer.from(`id: ${number}\n${EVENT_DATA}`));
}

function deliverNotExecuted(handlers: AttemptHandlers): void {
  const headers = { [NOT_EXECUTED_HEADER]: '1' };
  handlers.onHead({ status: HTTP_UNAVAILABLE, rawHeaders: [], headers });
}
