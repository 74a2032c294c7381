/** The simulated backend of an agent; records the requests that are dispatched to it. */
import type { EngineEvent } from '../agent/agent-events.js';
import type { BindMessage } from '../protocol/messages.js';
import { serviceResponse } from '../standin/response-text.js';
import { EngineModel } from '../standin/engine-model.js';
import type { BackendProfile } from './deployment.js';
import type { DispatchedRequest, Observations } from './observations.js';
import { readSimPayload } from './sim-payload.js';
import type { VirtualClock } from './virtual-clock.js';

const LOOPBACK_LATENCY_MS = 0.1;

/** Receives the events of a request. */
export type EngineEventSink = (event: EngineEvent) => void;

/** A model engine, or a service that runs no model, on the virtual clock. */
export class SimBackend {
  /** Whether the backend accepts connections. */
  isUp = true;
  readonly engine: EngineModel | undefined;
  private readonly openRequests = new Map<
    string,
    { record: DispatchedRequest; sink: EngineEventSink }
  >();

  constructor(
    private readonly clock: VirtualClock,
    readonly profile: BackendProfile,
    private readonly observations: Observations,
  ) {
    this.engine = profile.engine === undefined ? undefined : new EngineModel(clock, profile.engine);
  }

  /** Starts a request for the agent; `sink` receives its events. */
  start(bind: BindMessage, generation: number, sink: EngineEventSink): void {
    this.clock.setTimeout(() => {
      if (!this.isUp) {
        const detail = 'connection refused';
        sink({ kind: 'engine-failed', id: bind.id, isNotStarted: true, detail });
        return;
      }
      this.run(bind, generation, sink);
    }, LOOPBACK_LATENCY_MS);
  }

  /** Pauses a running request. */
  pause(id: string): void {
    this.clock.setTimeout(() => this.engine?.pause(id), LOOPBACK_LATENCY_MS);
  }

  /** Resumes a paused request. */
  resume(id: string): void {
    this.clock.setTimeout(() => this.engine?.resume(id), LOOPBACK_LATENCY_MS);
  }

  /** Cancels a request. */
  cancel(id: string): void {
    this.clock.setTimeout(() => {
      this.engine?.cancel(id);
      this.closeRequest(id, false);
    }, LOOPBACK_LATENCY_MS);
  }

  /**
   * Cancels all requests of a model engine when the agent exits, as for any client that
   * disconnects; a service completes its calls.
   */
  handleAgentExit(): void {
    for (const id of [...this.openRequests.keys()]) {
      if (this.engine !== undefined) {
        this.engine.cancel(id);
        this.closeRequest(id, false);
      }
    }
  }

  /** Crashes the backend and keeps it down for `downMs`. */
  crash(downMs: number): void {
    this.isUp = false;
    this.engine?.crash();
    for (const [id, { sink }] of [...this.openRequests]) {
      this.closeRequest(id, false);
      sink({ kind: 'engine-failed', id, isNotStarted: false, detail: 'engine crashed' });
    }
    this.clock.setTimeout(() => (this.isUp = true), downMs);
  }

  /** Returns the identifiers of the running requests, without paused ones. */
  runningIds(): string[] {
    return this.engine === undefined ? [...this.openRequests.keys()] : this.engine.runningIds();
  }

  private run(bind: BindMessage, generation: number, sink: EngineEventSink): void {
    const payload = readSimPayload(bind.payload.body);
    const record: DispatchedRequest = {
      requestId: bind.id,
      engine: this.profile.name,
      place: this.profile.place,
      atMs: this.clock.now(),
      prompt: payload.prompt,
      dataClass: bind.dataLabels['class'] ?? '',
      idempotencyKey: bind.idempotencyKey,
      generation,
      endedAtMs: undefined,
      isComplete: false,
    };
    this.observations.addDispatch(record);
    this.observations.log(record.atMs, `handed ${bind.id} to ${this.profile.name}`);
    this.openRequests.set(bind.id, { record, sink });
    if (this.engine === undefined) {
      this.runService(bind, payload.prompt, sink);
    } else {
      this.runEngine(this.engine, bind, payload.prompt, sink);
    }
  }

  private runService(bind: BindMessage, prompt: string, sink: EngineEventSink): void {
    const { id } = bind;
    this.clock.setTimeout(() => {
      if (!this.openRequests.has(id)) {
        return;
      }
      this.closeRequest(id, true);
      sink({ kind: 'engine-started', id, status: 200, contentType: 'application/json' });
      sink({ kind: 'engine-chunk', id, data: serviceResponse(bind.payload.path, prompt) });
      const usage = { promptTokens: 0, cachedPromptTokens: 0, outputTokens: 0 };
      sink({ kind: 'engine-ended', id, usage: { ...usage, prefillMs: 0, decodeMs: 0 } });
    }, this.profile.serviceMs);
  }

  private runEngine(
    engine: EngineModel,
    bind: BindMessage,
    prompt: string,
    sink: EngineEventSink,
  ): void {
    const { id, promptTokens, maxOutputTokens, prefixHash } = bind;
    const startedAtMs = this.clock.now();
    let firstChunkAtMs: number | undefined;
    sink({ kind: 'engine-started', id, status: 200, contentType: 'text/event-stream' });
    engine.submit(
      { id, prompt, promptTokens, maxOutputTokens, prefixHash, priority: bind.tier },
      {
        onTokens: (data) => {
          firstChunkAtMs ??= this.clock.now();
          sink({ kind: 'engine-chunk', id, data });
        },
        onEnd: (usage) => {
          this.closeRequest(id, true);
          const prefillMs = (firstChunkAtMs ?? startedAtMs) - startedAtMs;
          const decodeMs = this.clock.now() - (firstChunkAtMs ?? startedAtMs);
          sink({ kind: 'engine-ended', id, usage: { ...usage, prefillMs, decodeMs } });
        },
        onFailed: (detail) => {
          this.closeRequest(id, false);
          sink({ kind: 'engine-failed', id, isNotStarted: false, detail });
        },
      },
    );
  }

  private closeRequest(id: string, isComplete: boolean): void {
    const open = this.openRequests.get(id);
    if (open !== undefined) {
      this.openRequests.delete(id);
      open.record.endedAtMs = this.clock.now();
      open.record.isComplete = isComplete;
    }
  }
}
