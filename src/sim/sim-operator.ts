/** Simulated operators: they change the policy through the platform, alone and against each other. */
import { applyEdits, diffPolicies } from '../policy/change.js';
import type { PolicyEdit } from '../policy/change.js';
import type { PolicyDocument, PolicyEntry } from '../policy/document.js';
import { changePolicy, readStoredPolicy } from '../policy/store.js';
import { SimKeyValueClient } from './sim-platform.js';
import type { Observations } from './observations.js';
import type { SimPlatform } from './sim-platform.js';
import type { VirtualClock } from './virtual-clock.js';

const OPERATOR_TIMEOUT_MS = 1_000;

/** What operators act in. */
export interface OperatorWorld {
  readonly clock: VirtualClock;
  readonly observations: Observations;
  readonly platform: SimPlatform;
}

/** Simulated operators. */
export class SimOperator {
  private changeCount = 0;
  /** Identifiers of every change that was tried, with the entries it set. */
  readonly tried = new Map<string, readonly string[]>();

  constructor(private readonly world: OperatorWorld) {}

  /** Puts a whole policy in force while nothing else runs. */
  async putInForce(document: PolicyDocument, changeId: string): Promise<void> {
    const done = this.change(changeId, () => diffPolicies({}, document));
    const SETTLE_MS = 1_000;
    await this.world.clock.runUntil(this.world.clock.now() + SETTLE_MS);
    await done;
  }

  /** Changes the state label of an engine: drains a serving one, and the other way round. */
  toggleEngine(engineName: string): void {
    const name = `engine.${engineName}`;
    void this.change(this.nextChangeId(), (document) => {
      const before = document[name];
      if (before?.kind !== 'engine') {
        return [];
      }
      const state = before.labels['state'] === 'drained' ? 'serving' : 'drained';
      const after: PolicyEntry = { ...before, labels: { ...before.labels, state } };
      return [{ entry: name, after }];
    });
  }

  /** Two operators change at the same moment: the same entry, and different ones. */
  race(engineName: string, otherName: string): void {
    this.toggleEngine(engineName);
    this.toggleEngine(engineName);
    this.toggleEngine(otherName);
  }

  private nextChangeId(): string {
    this.changeCount += 1;
    return `change-${this.changeCount}`;
  }

  private async change(
    changeId: string,
    createEdits: (document: PolicyDocument) => PolicyEdit[],
  ): Promise<void> {
    const { clock, observations, platform } = this.world;
    const caller = {
      address: { name: 'operators', zone: 'operators' },
      deliver: (callback: () => void) => callback(),
    };
    const client = new SimKeyValueClient(platform, caller, OPERATOR_TIMEOUT_MS);
    const stored = await readStoredPolicy(client);
    if (!stored.ok) {
      return;
    }
    const edits = createEdits(stored.val.document);
    const entries = edits.map((edit) => edit.entry);
    this.tried.set(changeId, entries);
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
      const before =
        observations.acceptedChanges.find(
          (change) => change.generation === result.val.generation - 1,
        )?.document ?? stored.val.document;
      observations.acceptedChanges.push({
        changeId,
        generation: result.val.generation,
        acceptedAtMs: clock.now(),
        document: applyEdits(before, edits),
        entries,
      });
    }
  }
}
