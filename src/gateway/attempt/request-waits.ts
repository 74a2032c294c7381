/** Creates the waits of one request for slots. */
import type { BackendExclusion, PlacementConstraints } from '../dispatch/dispatch-request.js';
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
  create(excluded: BackendExclusion, { onPlaced, onAbandoned }: WaitCallbacks): RequestWait {
    const { request, constraints, ports, options } = this;
    return new RequestWait({
      request,
      constraints,
      ports,
      options,
      answer: this.progress(),
      excluded,
      onPlaced: ports.confine(onPlaced),
      onAbandoned,
    });
  }
}
