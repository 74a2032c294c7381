/** Creates the waits of one request for slots. */
import type {
  BackendExclusion,
  PlacementConstraints,
  ResponseDeadline,
} from '../dispatch/dispatch-request.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { RequestOptions, RequestPorts } from './request-model.js';
import { RequestWait } from './request-wait.js';
import type { RequestWaitContext, ResponseProgress } from './request-wait.js';

/** Called at the end of a wait. */
export type WaitCallbacks = Pick<RequestWaitContext, 'onPlaced' | 'onAbandoned'>;

/** Creates waits. */
export class RequestWaits {
  constructor(
    private readonly request: AcceptedRequest,
    private readonly constraints: PlacementConstraints,
    private readonly ports: RequestPorts,
    private readonly options: RequestOptions,
    private readonly progress: () => ResponseProgress,
  ) {}

  /** Returns a wait for a slot at a backend that is not in `excluded`. */
  create(
    excluded: BackendExclusion,
    { onPlaced, onAbandoned }: WaitCallbacks,
    deadline?: ResponseDeadline,
  ): RequestWait {
    const { request, constraints, ports, options } = this;
    return new RequestWait({
      request,
      constraints,
      ports,
      options,
      answer: this.progress(),
      excluded,
      deadline,
      onPlaced: ports.confine(onPlaced),
      onAbandoned,
    });
  }

  /**
   * Like `create`, for a request whose attempt goes on until a slot elsewhere is assigned. A slot
   * where it cannot respond in time is of no use: the attempt may still complete.
   */
  createForMove(excluded: BackendExclusion, callbacks: WaitCallbacks): RequestWait {
    const { deadlineAtMs, route } = this.request;
    // How much of a stream is left is not known, only that its prompt must be read again.
    const part = route.kind === 'stream' ? 'first-event' : 'whole-response';
    return this.create(excluded, callbacks, { atMs: deadlineAtMs, part });
  }
}
