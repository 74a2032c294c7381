/** A TCP proxy on loopback whose connections can be delayed, reset, cut one way or silenced. */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

/** What a proxy does to the bytes that pass it. */
export type ProxyMood = 'passes' | 'delays' | 'resets' | 'cut-towards-target' | 'cut-from-target';

const DELAY_MS = 120;

/** A TCP proxy on loopback. */
export class LoopbackProxy {
  mood: ProxyMood = 'passes';
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private isClosed = false;

  constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Listens; returns once it does. */
  async start(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(port, host, resolve));
  }

  /** Resets every connection and takes no more. */
  stop(): void {
    this.resetAll();
    this.server.close();
  }

  /** Takes no connections for a time, as if what stands behind it had ended; its connections are reset. */
  async closeFor(pauseMs: number, host: string, port: number): Promise<void> {
    if (this.isClosed) {
      // It is away for another reason and comes back by that.
      return;
    }
    this.isClosed = true;
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.resetAll();
    await closed;
    await new Promise((resolve) => setTimeout(resolve, pauseMs));
    await this.start(host, port);
    this.isClosed = false;
  }

  /** Resets every connection. */
  resetAll(): void {
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
  }

  private accept(client: Socket): void {
    if (this.mood === 'resets') {
      client.resetAndDestroy();
      return;
    }
    const target = connect(this.targetPort, this.targetHost);
    this.join(client, target, 'cut-towards-target');
    this.join(target, client, 'cut-from-target');
  }

  private join(from: Socket, to: Socket, cut: ProxyMood): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('data', (bytes: Buffer) => {
      if (this.mood === cut) {
        return;
      }
      const delayMs = this.mood === 'delays' ? DELAY_MS : 0;
      if (delayMs === 0) {
        to.write(bytes);
      } else {
        setTimeout(() => to.write(bytes), delayMs);
      }
    });
    from.on('end', () => to.end());
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
