/**
 * Finds out whether back ends that broke off an answer have ended, where no agent beside them tells.
 *
 * The next request that is sent there would show it too, but until one is, the request that crashed the back
 * end is sent on to others: by 30 ms after the crash instead of by the back end's return after 3 s.
 */
import type { Clock } from '../../clock.js';
import type { Backend } from '../../routing/backend.js';
import type { PortState } from './port-look.js';

/** What looks need from their surroundings. */
export interface CrashLooksPorts {
  /** Whether an agent beside the back end looks at it. */
  hasAgent(backendId: string): boolean;
  look(address: string): Promise<PortState>;
  /** Nothing listens at the back end's address. */
  onClosed(backendId: string): void;
}

/**
 * Pauses before the looks, in milliseconds. A process that ends may close its connections before its listener;
 * one that lives is not bothered with more: a look costs it as much as a connection.
 */
const LOOK_PAUSES_MS = [0, 100];

/** Looks at back ends that broke off an answer. */
export class CrashLooks {
  /** Back ends that are looked at now: many answers may break off at once. */
  private readonly underWay = new Set<string>();

  constructor(
    private readonly ports: CrashLooksPorts,
    private readonly clock: Clock,
  ) {}

  /** A back end broke off an answer. */
  begin({ id, address }: Backend): void {
    if (this.ports.hasAgent(id) || this.underWay.has(id)) {
      return;
    }
    this.underWay.add(id);
    this.lookIn(LOOK_PAUSES_MS, id, address);
  }

  private lookIn([pauseMs, ...later]: readonly number[], id: string, address: string): void {
    if (pauseMs === undefined) {
      this.underWay.delete(id);
      return;
    }
    this.clock.setTimeout(() => {
      void this.ports.look(address).then((state) => {
        if (state === 'closed') {
          this.underWay.delete(id);
          this.ports.onClosed(id);
        } else {
          this.lookIn(later, id, address);
        }
      });
    }, pauseMs);
  }
}
