/**
 * Probes backends that cut off a response to find out whether they exited, where no agent on their
 * host reports it.
 *
 * The next request sent to the backend would detect the exit as well, but until then the request
 * that crashed it is sent to other backends. Probing detects the exit within 30 ms of the crash
 * instead of when the backend returns after 3 s.
 */
import type { Clock } from '../../clock.js';
import type { Backend } from '../../routing/backend.js';
import type { PortState } from './port-probe.js';

/** Dependencies of the exit prober. */
export interface ExitProberPorts {
  /** Whether an agent on the backend's host monitors it. */
  hasAgent(backendId: string): boolean;
  probe(address: string): Promise<PortState>;
  /** Called when connections to the backend's address are refused. */
  onPortClosed(backendId: string): void;
}

/**
 * Delays before successive probes, in milliseconds. An exiting process may close its connections
 * before its listener, hence the second probe. No further probes are made, since each costs a
 * running backend one connection.
 */
const PROBE_DELAYS_MS = [0, 100];

/** Probes backends that cut off a response. */
export class ExitProber {
  /** Backends with a probe in progress; many responses may be cut off at once. */
  private readonly inProgress = new Set<string>();

  constructor(
    private readonly ports: ExitProberPorts,
    private readonly clock: Clock,
  ) {}

  /** Starts probing a backend that cut off a response. */
  start({ id, address }: Backend): void {
    if (this.ports.hasAgent(id) || this.inProgress.has(id)) {
      return;
    }
    this.inProgress.add(id);
    this.scheduleProbe(PROBE_DELAYS_MS, id, address);
  }

  private scheduleProbe(
    [delayMs, ...remainingDelaysMs]: readonly number[],
    id: string,
    address: string,
  ): void {
    if (delayMs === undefined) {
      this.inProgress.delete(id);
      return;
    }
    this.clock.setTimeout(() => {
      void this.ports.probe(address).then((state) => {
        if (state === 'closed') {
          this.inProgress.delete(id);
          this.ports.onPortClosed(id);
        } else {
          this.scheduleProbe(remainingDelaysMs, id, address);
        }
      });
    }, delayMs);
  }
}
