/** Sends the attempts of a gateway to model engines, in place of HTTP connections. */
import type { Clock } from '../clock.js';
import type {
  AttemptFailure,
  AttemptHandle,
  AttemptHandlers,
  BackendSender,
  OutgoingAttempt,
} from '../gateway/attempt/attempt.js';
import type { BatchJob } from './batch-engine.js';
import type { ModelBackend } from './model-fleet.js';

/** Names of the headers by which callers tell engines the size of a request. */
export const SIZE_HEADERS = { promptTokens: 'prompt-tokens', events: 'events' } as const;
/** Header of an answer of an engine that did not run the request. */
export const NOT_RUN_HEADER = 'not-run';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const EMPTY_EVENT_BODY = 'data: x\n\n';

/** Reads one header of a list of names and values in turn. */
export function readHeader(headers: readonly string[], name: string): string | undefined {
  const index = headers.indexOf(name);
  return index < 0 ? undefined : headers[index + 1];
}

/** Sends to model engines. */
export class EngineSender implements BackendSender {
  private readonly handles = new Set<AttemptHandle>();

  constructor(
    private readonly backends: ReadonlyMap<string, ModelBackend>,
    private readonly clock: Clock,
    /** One way to an engine, in milliseconds. */
    private readonly linkMs: number,
  ) {}

  /** Ends every attempt: the process lost power. Engines notice, and go on to their next request. */
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
      onEvent: (number) => deliver(() => receiveEvent(handlers, number)),
      onEnd: () => end(() => handlers.onEnd()),
      onBroken: () => end(() => handlers.onFailure(RESET)),
    };
    this.clock.setTimeout(() => {
      if (isCancelled) {
        return;
      }
      if (!engine.isUp) {
        end(() => handlers.onFailure(REFUSED));
      } else if (!engine.submit(job)) {
        end(() => receiveNotRun(handlers));
      }
    }, this.linkMs);
    return handle;
  }
}

const RESET: AttemptFailure = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };
const REFUSED: AttemptFailure = { mayHaveRun: false, isPortClosed: true, detail: 'refused' };

function receiveEvent(handlers: AttemptHandlers, number: number): void {
  if (number === 1) {
    handlers.onHead({ status: HTTP_OK, rawHeaders: [], headers: {} });
  }
  handlers.onData(Buffer.from(`id: ${number}\n${EMPTY_EVENT_BODY}`));
}

function receiveNotRun(handlers: AttemptHandlers): void {
  const headers = { [NOT_RUN_HEADER]: '1' };
  handlers.onHead({ status: HTTP_UNAVAILABLE, rawHeaders: [], headers });
}
