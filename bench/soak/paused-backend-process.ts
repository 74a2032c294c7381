/**
 * Runs one backend as a process of its own, which a parent process pauses by signals:
 * `node paused-backend-process.js ID KIND HOST PORT`. Ends with its parent.
 */
import { SilentBackend } from './silent-backend.js';
import type { SilentBackendKind } from './silent-backend.js';

/** What the process tells its parent. */
export type BackendMessage =
  | { readonly kind: 'listening'; readonly bornAtMs: number }
  /** It executes a request. */
  | { readonly kind: 'runs'; readonly requestId: string };

/** What the parent tells the process: to end as soon as it has no requests. */
export type ParentMessage = 'end-when-idle';

const IDLE_CHECK_MS = 50;

function tellParent(message: BackendMessage): void {
  process.send!(message);
}

const [, , id, kind, host, port] = process.argv;
const backend = new SilentBackend(id!, kind as SilentBackendKind, (requestId) =>
  tellParent({ kind: 'runs', requestId }),
);

function endWhenIdle(): void {
  setInterval(() => backend.isBusy || process.exit(0), IDLE_CHECK_MS);
}

process.on('disconnect', () => process.exit(0));
process.on('message', (message: ParentMessage) => message === 'end-when-idle' && endWhenIdle());
await backend.start(host!, Number(port));
tellParent({ kind: 'listening', bornAtMs: backend.bornAtMs });
