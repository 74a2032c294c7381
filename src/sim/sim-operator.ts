/**
 * Simulated operators that change the policy through the platform, one at a time and concurrently.
 */
import { applyEdits, diffPolicies } from '../policy/change.js';
import type { PolicyEdit } from '../policy/change.js';
import type { PolicyDocument, PolicyEntry } from '../policy/document.js';
import { changePolicy, readStoredPolicy } from '../policy/store.js';
import { SimKeyValueClient } from './sim-platform.js';
import type { Observations } from './observations.js';
import type { SimPlatform } from './sim-platform.js';
import type { VirtualClock } from './virtual-clock.js';

const OPERATOR_TIMEOUT_MS = 1_000;

/** Dependencies of `SimOperator`. */
export interface OperatorContext {
  readonly clock: VirtualClock;
  readonly observations: Observations;
  readonly platform: SimPlatform;
}

/** Changes the stored policy and records the changes that were accepted. */
export class SimOperator {
  private changeCount = 0;
  /** Names of the policy entries in each attempted change, by change identifier. */
  readonly attemptedChanges = new Map<string, readonly string[]>();

  constructor(private readonly context: OperatorContext) {}

  /** Stores a complete initial policy while nothing else is running. */
  async installPolicy(document: PolicyDocument, changeId: string): Promise<void> {
    const done = this.applyChange(changeId, () => diffPolicies({}, document));
    const SETTLE_MS = 1_000;
    await this.context.clock.runUntil(this.context.clock.now() + SETTLE_MS);
    await done;
  }

  /** Switches the `state` label of an engine between `serving` and `drained`. */
  toggleDrained(engineName: string): void {
    const name = `engine.${engineName}`;
    void this.applyChange(this.nextChangeId(), (document) => {
      const before = document[name];
      if (before?.kind !== 'engine') {
        return [];
      }
      const state = before.labels['state'] === 'drained' ? 'serving' : 'drained';
      const after: PolicyEntry = { ...before, labels: { ...before.labels, state } };
      return [{ entry: name, after }];
    });
  }

  /** Makes three concurrent changes, two of them to the same policy entry. */
  raceChanges(engineName: string, otherName: string): void {
    this.toggleDrained(engineName);
    this.toggleDrained(engineName);
    this.toggleDrained(otherName);
  }

  private nextChangeId(): string {
    this.changeCount += 1;
    return `change-${this.changeCount}`;
  }

  private async applyChange(
    changeId: string,
    createEdits: (document: PolicyDocument) => PolicyEdit[],
  ): Promise<void> {
    const { clock, observations, platform } = this.context;
    const clientContext = {
      address: { name: 'operators', zone: 'operators' },
      deliver: (callback: () => void) => callback(),
    };
    const client = new SimKeyValueClient(platform, clientContext, OPERATOR_TIMEOUT_MS);
    const stored = await readStoredPolicy(client);
    if (!stored.ok) {
      return;
    }
    const edits = createEdits(stored.val.document);
    const entries = edits.map((edit) => edit.entry);
    this.attemptedChanges.set(changeId, entries);
    const result = await changePolicy(client, {
      changeId,
      author: 'operator',
      atMs: clock.now(),
      summary: changeId,
      edits,
      baseDocument: stored.val.document,
    });
    const outcome = result.ok ? `generation ${result.val.generation}` : result.val.code;
    observations.log(clock.now(), `${changeId}: ${outcome}`);
    if (result.ok) {
      const previous =
        observations.acceptedChanges.find(
          (change) => change.generation === result.val.generation - 1,
        )?.document ?? stored.val.document;
      observations.acceptedChanges.push({
        changeId,
        generation: result.val.generation,
        acceptedAtMs: clock.now(),
        document: applyEdits(previous, edits),
        entries,
      });
    }
  }
}
