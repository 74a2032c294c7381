/** A sound backend in a process of its own, which stands still while it is paused by a signal. */
import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { BackendMessage, ParentMessage } from './paused-backend-process.js';
import type { SilentBackendKind } from './silent-backend.js';

const PROGRAM = fileURLToPath(new URL('paused-backend-process.js', import.meta.url));

/** A time in which a backend stood still, by `performance.now()`, in milliseconds. */
export interface BackendPause {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Identity and address of a backend. */
export interface PausedBackendOptions {
  readonly id: string;
  readonly kind: SilentBackendKind;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly service: string;
}

/** The process of one backend. While it is paused it neither accepts, reads nor sends anything. */
export class PausedBackend {
  readonly id: string;
  readonly pauses: BackendPause[] = [];
  /** Ids of the requests that it executed, in order. */
  readonly runs: string[] = [];
  /** Start time, in Unix milliseconds; 0 before it listens. */
  bornAtMs = 0;
  private readonly child: ChildProcess;
  private readonly listening: Promise<void>;
  private resumeTimer: NodeJS.Timeout | undefined;
  private pausedUntilMs = 0;

  constructor(readonly options: PausedBackendOptions) {
    const { id, kind, host, port } = options;
    this.id = id;
    this.child = fork(PROGRAM, [id, kind, host, `${port}`]);
    this.listening = new Promise((resolve, reject) => {
      this.child.once('exit', () => reject(new Error(`${id} ended before it listened`)));
      this.child.on('message', (message: BackendMessage) => {
        if (message.kind === 'runs') {
          this.runs.push(message.requestId);
        } else {
          this.bornAtMs = message.bornAtMs;
          resolve();
        }
      });
    });
    // Whoever waits for it handles the error.
    this.listening.catch(() => undefined);
  }

  /** IP:PORT. */
  get address(): string {
    return `${this.options.host}:${this.options.port}`;
  }

  get isPaused(): boolean {
    return performance.now() < this.pausedUntilMs;
  }

  /** Resolves once it listens. */
  untilListening(): Promise<void> {
    return this.listening;
  }

  /** Stands still for `durationMs`, or longer if it is paused until a later time already. */
  pause(durationMs: number): void {
    const fromMs = performance.now();
    const untilMs = fromMs + durationMs;
    if (untilMs <= this.pausedUntilMs) {
      return;
    }
    this.pauses.push({ fromMs, untilMs });
    this.pausedUntilMs = untilMs;
    this.child.kill('SIGSTOP');
    clearTimeout(this.resumeTimer);
    this.resumeTimer = setTimeout(() => this.child.kill('SIGCONT'), durationMs);
  }

  /** Ends once it has completed its requests; resolves when it has ended. */
  endWhenIdle(): Promise<void> {
    const message: ParentMessage = 'end-when-idle';
    this.child.send(message);
    return new Promise((resolve) => this.child.once('exit', () => resolve()));
  }

  stop(): void {
    clearTimeout(this.resumeTimer);
    this.child.kill('SIGCONT');
    this.child.kill('SIGKILL');
  }
}
