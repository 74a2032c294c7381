/** Replaces all backends by those of a newer version, while streams run. */
import { StreamBackend } from './stream-backend.js';

/** What a rollout acts on. */
export interface StreamRolloutPorts {
  /** Current backends; each is replaced in place. */
  readonly backends: StreamBackend[];
  /** Whether a backend keeps the id of the one that it replaces. */
  readonly keepsIds: boolean;
  readonly port: number;
  /** Time for which a replaced backend drains before it ends, in milliseconds. */
  readonly drainMs: number;
  /** Host of a backend; the same one as before if it takes over the address. */
  hostFor(index: number, generation: number): string;
  announce(backend: StreamBackend, state: string): void;
  onStarted(backend: StreamBackend): void;
  onEnded(backend: StreamBackend): void;
  schedule(delayMs: number, action: () => void): void;
}

const BACKENDS = 8;
/** Time between two replacements, in milliseconds. */
const INTERVAL_MS = 60;
/** Time from the start of a backend until the one that it replaces drains, in milliseconds. */
const DRAIN_DELAY_MS = 100;

/** Rollouts of newer versions over all backends. */
export class StreamRollout {
  constructor(private readonly ports: StreamRolloutPorts) {}

  /** Time from the start of a rollout until the last replaced backend has ended, in milliseconds. */
  get durationMs(): number {
    return (BACKENDS - 1) * INTERVAL_MS + DRAIN_DELAY_MS + this.ports.drainMs;
  }

  /** Starts a rollout of the version of a generation, from 1. */
  start(generation: number): void {
    for (let index = 0; index < BACKENDS; index += 1) {
      this.ports.schedule(index * INTERVAL_MS, () => void this.replace(index, generation));
    }
  }

  private async replace(index: number, generation: number): Promise<void> {
    const { ports } = this;
    const old = ports.backends[index]!;
    const id = ports.keepsIds ? old.id : `w-${index}-g${generation}`;
    const host = ports.hostFor(index, generation);
    const next = new StreamBackend(id, `v${generation + 1}`, Date.now(), host);
    if (host === old.host) {
      old.stopListening();
    }
    await next.start(ports.port);
    ports.backends[index] = next;
    ports.announce(next, 'ready');
    ports.onStarted(next);
    ports.schedule(DRAIN_DELAY_MS, () => {
      if (!ports.keepsIds) {
        ports.announce(old, 'draining');
      }
    });
    ports.schedule(DRAIN_DELAY_MS + ports.drainMs, () => {
      old.crash();
      ports.onEnded(old);
    });
  }
}

/** Versions of the backends that are ready, over time. */
export class ServingVersions {
  private readonly periods = new Map<StreamBackend, { readonly fromMs: number; untilMs: number }>();

  /** Records the announced state of a backend; one that takes over an id ends the other one. */
  update(backend: StreamBackend, state: string): void {
    const nowMs = performance.now();
    for (const [other, period] of this.periods) {
      const isOver = other === backend ? state !== 'ready' : other.id === backend.id;
      if (isOver) {
        period.untilMs = Math.min(period.untilMs, nowMs);
      }
    }
    if (state === 'ready' && !this.periods.has(backend)) {
      this.periods.set(backend, { fromMs: nowMs, untilMs: Infinity });
    }
  }

  /** Number of backends of a version that were ready at a time. */
  count(version: string, atMs: number): number {
    return [...this.periods].filter(
      ([backend, { fromMs, untilMs }]) =>
        backend.version === version && fromMs <= atMs && atMs < untilMs,
    ).length;
  }
}
