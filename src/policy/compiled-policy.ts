/** A policy document of one generation, indexed for fast eligibility decisions. */
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

/** A policy document with the indexes that eligibility decisions use. */
export interface CompiledPolicy {
  /** Version of the policy: increases by one per accepted change; 0 if no policy is loaded. */
  readonly generation: number;
  readonly document: PolicyDocument;
  readonly engines: ReadonlyMap<string, EngineEntry>;
  readonly enginesByModel: ReadonlyMap<string, readonly string[]>;
  readonly places: ReadonlyMap<string, PlaceEntry>;
  readonly models: ReadonlyMap<string, ModelEntry>;
  readonly tenants: ReadonlyMap<string, TenantEntry>;
  /** Deny selectors first, then allow selectors by descending priority, then by name. */
  readonly selectors: readonly NamedSelector[];
}

/** Compiles `document`, which must be valid. */
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

/** Policy of a process that has not loaded one yet; denies every request. */
export const EMPTY_POLICY: CompiledPolicy = compilePolicy({}, 0);

/** Returns the content hash of a document; it does not depend on the order of its keys. */
export function contentDigest(document: PolicyDocument): string {
  return createHash('sha256').update(canonicalJson(document)).digest('hex').slice(0, 16);
}

/** Serializes to JSON with sorted object keys, so that equal values have equal text. */
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
