/** A request whose processing cannot end the process: an exception ends that request alone. */
import type { GatewayRefusal } from '../admission/gateway-refusal.js';
import type { ExitEvidence } from '../crashes/interrupted-runs.js';
import type { PlacementConstraints } from '../dispatch/dispatch-request.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { CallerReply } from './attempt.js';
import { confinePorts } from './confine-ports.js';
import { FaultBoundary } from './fault-boundary.js';
import { ProxiedRequest } from './proxied-request.js';
import type { AttemptStage, RequestOptions, RequestPorts } from './request-model.js';

/** Processes one accepted request until it ends; no method throws. */
export class ConfinedRequest {
  private readonly request: ProxiedRequest;
  private readonly boundary: FaultBoundary;

  /** @param onFault - called with each exception in the processing of the request */
  constructor(
    accepted: AcceptedRequest,
    reply: CallerReply,
    ports: RequestPorts,
    options: RequestOptions,
    onFault: (cause: unknown) => void,
  ) {
    this.boundary = new FaultBoundary((cause) => {
      onFault(cause);
      this.request.endAfterFault(onFault);
    });
    this.request = new ProxiedRequest(accepted, reply, confinePorts(ports, this.boundary), options);
  }

  /** See `ProxiedRequest`. */
  get constraints(): PlacementConstraints {
    return this.request.constraints;
  }

  /** See `ProxiedRequest`. */
  get stage(): AttemptStage {
    return this.request.stage;
  }

  /** See `ProxiedRequest`. */
  begin(): void {
    this.boundary.run(() => this.request.begin());
  }

  /** See `ProxiedRequest`. */
  handleCallerDisconnect(): void {
    this.boundary.run(() => this.request.handleCallerDisconnect());
  }

  /** See `ProxiedRequest`. */
  withdrawIfUnsent(): boolean {
    let isWithdrawn = false;
    this.boundary.run(() => void (isWithdrawn = this.request.withdrawIfUnsent()));
    return isWithdrawn;
  }

  /** See `ProxiedRequest`. */
  handleBackendEnded(id: string, evidence: ExitEvidence, sentBeforeMs: number): void {
    this.boundary.run(() => this.request.handleBackendEnded(id, evidence, sentBeforeMs));
  }

  /** See `ProxiedRequest`. */
  refuseIfUnsent(refusal: GatewayRefusal, detail: string): void {
    this.boundary.run(() => this.request.refuseIfUnsent(refusal, detail));
  }

  /** See `ProxiedRequest`. */
  failIfUnanswered(refusal: GatewayRefusal, detail: string): void {
    this.boundary.run(() => this.request.failIfUnanswered(refusal, detail));
  }

  /** See `ProxiedRequest`. */
  refuseIfCrashing(): void {
    this.boundary.run(() => this.request.refuseIfCrashing());
  }
}
