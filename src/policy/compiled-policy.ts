/** A policy document compiled for fast decisions, under one generation. */
import { createHash } from 'node:crypto';
import { entriesOfKind } from './document.js';
import type {
  EngineEntry,
  ModelEntry,
  PlaceEntry,
  PolicyDocument,
  SelectorEntry,
  TenantEntry,
} from './document.js';

/** A selector with its name. */
export interface NamedSelector extends SelectorEntry {
  readonly name: string;
}

/** A document in the form that eligibility is decided on. */
export interface CompiledPolicy {
  /** Rises by one with each accepted change; 0 means that no policy is known yet. */
  readonly generation: number;
  readonly document: PolicyDocument;
  readonly engines: ReadonlyMap<string, EngineEntry>;
  readonly enginesByModel: ReadonlyMap<string, readonly string[]>;
  readonly places: ReadonlyMap<string, PlaceEntry>;
  readonly models: ReadonlyMap<string, ModelEntry>;
  readonly tenants: ReadonlyMap<string, TenantEntry>;
  /** Denying selectors first, then allowing ones by descending priority and name. */
  readonly selectors: readonly NamedSelector[];
}

/** Compiles `document`, which must be free of problems. */
export function compilePolicy(document: PolicyDocument, generation: number): CompiledPolicy {
  const engines = new Map(entriesOfKind(document, 'engine'));
  return {
    generation,
    document,
    engines,
    enginesByModel: indexEnginesByModel(engines),
    places: new Map(entriesOfKind(document, 'place')),
    models: new Map(entriesOfKind(document, 'model')),
    tenants: new Map(entriesOfKind(document, 'tenant')),
    selectors: orderSelectors(
      entriesOfKind(document, 'selector').map(([name, entry]) => ({ ...entry, name })),
    ),
  };
}

/** The policy of a process that has not learned any: nothing is permitted. */
export const EMPTY_POLICY: CompiledPolicy = compilePolicy({}, 0);

/** Digest of a document: equal documents have equal digests whatever the order of their keys. */
export function digestOf(document: PolicyDocument): string {
  return createHash('sha256').update(canonicalJson(document)).digest('hex').slice(0, 16);
}

/** JSON with object keys in order, so that equal values have equal text. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    if (inner === null || typeof inner !== 'object' || Array.isArray(inner)) {
      return inner;
    }
    return Object.fromEntries(
      Object.entries(inner).sort(([left], [right]) => (left < right ? -1 : 1)),
    );
  });
}

function indexEnginesByModel(engines: ReadonlyMap<string, EngineEntry>): Map<string, string[]> {
  const index = new Map<string, string[]>();
  for (const [name, engine] of engines) {
    for (const model of engine.models) {
      const names = index.get(model) ?? [];
      names.push(name);
      index.set(model, names);
    }
  }
  return index;
}

function orderSelectors(selectors: NamedSelector[]): NamedSelector[] {
  const rank = (selector: NamedSelector) => (selector.effect === 'deny' ? 0 : 1);
  return selectors.sort(
    (left, right) =>
      rank(left) - rank(right) ||
      right.priority - left.priority ||
      (left.name < right.name ? -1 : 1),
  );
}
