/** A simulated back end beside an agent; keeps the account of what it was handed. */
import type { EngineEvent } from '../agent/agent-events.js';
import type { BindMessage } from '../protocol/messages.js';
import { serviceResponse } from '../standin/answer-text.js';
import { EngineModel } from '../standin/engine-model.js';
import type { BackendProfile } from './deployment.js';
import type { HandedRequest, Observations } from './observations.js';
import { readSimPayload } from './sim-payload.js';
import type { VirtualClock } from './virtual-clock.js';

const LOCAL_LATENCY_MS = 0.1;

/** Who hears what comes of a request. */
export type EngineEventSink = (event: EngineEvent) => void;

/** A simulated back end. */
export class SimBackend {
  /** Whether the back end accepts connections. */
  isUp = true;
  readonly engine: EngineModel | undefined;
  private readonly open = new Map<string, { record: HandedRequest; sink: EngineEventSink }>();

  constructor(
    private readonly clock: VirtualClock,
    readonly profile: BackendProfile,
    private readonly observations: Observations,
  ) {
    this.engine = profile.engine === undefined ? undefined : new EngineModel(clock, profile.engine);
  }

  /** Takes a request from the agent; `sink` hears what comes of it. */
  start(bind: BindMessage, generation: number, sink: EngineEventSink): void {
    this.clock.setTimeout(() => {
      if (!this.isUp) {
        const detail = 'connection refused';
        sink({ kind: 'engine-failed', id: bind.id, isNotStarted: true, detail });
        return;
      }
      this.run(bind, generation, sink);
    }, LOCAL_LATENCY_MS);
  }

  /** Pauses a request. */
  pause(id: string): void {
    this.clock.setTimeout(() => this.engine?.pause(id), LOCAL_LATENCY_MS);
  }

  /** Goes on with a paused request. */
  resume(id: string): void {
    this.clock.setTimeout(() => this.engine?.resume(id), LOCAL_LATENCY_MS);
  }

  /** Ends a request for good. */
  cancel(id: string): void {
    this.clock.setTimeout(() => {
      this.engine?.cancel(id);
      this.close(id, false);
    }, LOCAL_LATENCY_MS);
  }

  /** The agent is gone: an engine stops what it ran for it, as for any caller that hangs up. */
  loseAgent(): void {
    for (const id of [...this.open.keys()]) {
      if (this.engine !== undefined) {
        this.engine.cancel(id);
        this.close(id, false);
      }
    }
  }

  /** The back end dies and is down for a while. */
  crash(downMs: number): void {
    this.isUp = false;
    this.engine?.crash();
    for (const [id, { sink }] of [...this.open]) {
      this.close(id, false);
      sink({ kind: 'engine-failed', id, isNotStarted: false, detail: 'the engine died' });
    }
    this.clock.setTimeout(() => (this.isUp = true), downMs);
  }

  /** Requests that run now, paused ones not counted. */
  runningIds(): string[] {
    return this.engine === undefined ? [...this.open.keys()] : this.engine.runningIds();
  }

  private run(bind: BindMessage, generation: number, sink: EngineEventSink): void {
    const payload = readSimPayload(bind.payload.body);
    const record: HandedRequest = {
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
    this.observations.addHanded(record);
    this.observations.log(record.atMs, `handed ${bind.id} to ${this.profile.name}`);
    this.open.set(bind.id, { record, sink });
    if (this.engine === undefined) {
      this.runService(bind, payload.prompt, sink);
    } else {
      this.runEngine(this.engine, bind, payload.prompt, sink);
    }
  }

  private runService(bind: BindMessage, prompt: string, sink: EngineEventSink): void {
    const { id } = bind;
    this.clock.setTimeout(() => {
      if (!this.open.has(id)) {
        return;
      }
      this.close(id, true);
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
    let firstAtMs: number | undefined;
    sink({ kind: 'engine-started', id, status: 200, contentType: 'text/event-stream' });
    engine.submit(
      { id, prompt, promptTokens, maxOutputTokens, prefixHash, priority: bind.tier },
      {
        onTokens: (data) => {
          firstAtMs ??= this.clock.now();
          sink({ kind: 'engine-chunk', id, data });
        },
        onEnd: (usage) => {
          this.close(id, true);
          const prefillMs = (firstAtMs ?? startedAtMs) - startedAtMs;
          const decodeMs = this.clock.now() - (firstAtMs ?? startedAtMs);
          sink({ kind: 'engine-ended', id, usage: { ...usage, prefillMs, decodeMs } });
        },
        onFailed: (detail) => {
          this.close(id, false);
          sink({ kind: 'engine-failed', id, isNotStarted: false, detail });
        },
      },
    );
  }

  private close(id: string, isComplete: boolean): void {
    const open = this.open.get(id);
    if (open !== undefined) {
      this.open.delete(id);
      open.record.endedAtMs = this.clock.now();
      open.record.isComplete = isComplete;
    }
  }
}
