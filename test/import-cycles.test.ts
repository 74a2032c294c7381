import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';
import test from 'ava';

function sourcesBelow(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    return entry.isDirectory() ? sourcesBelow(path) : path.endsWith('.ts') ? [path] : [];
  });
}

function importsOf(path: string): string[] {
  const text = readFileSync(path, 'utf8');
  const names = [...text.matchAll(/ from '(\.[^']+)\.js'/g)].map(([, name]) => name!);
  return names.map((name) => normalize(join(dirname(path), `${name}.ts`)));
}

/** The first circle found from `path`, or undefined. */
function findCycle(
  path: string,
  imports: ReadonlyMap<string, readonly string[]>,
  isDone: Set<string>,
  trail: readonly string[] = [],
): readonly string[] | undefined {
  if (trail.includes(path)) {
    return [...trail.slice(trail.indexOf(path)), path];
  }
  if (isDone.has(path)) {
    return undefined;
  }
  for (const next of imports.get(path) ?? []) {
    const cycle = findCycle(next, imports, isDone, [...trail, path]);
    if (cycle !== undefined) {
      return cycle;
    }
  }
  isDone.add(path);
  return undefined;
}

test('no two modules import each other, directly or through others', (t) => {
  const sources = [...sourcesBelow('src'), ...sourcesBelow('platform')];
  const imports = new Map(sources.map((path) => [path, importsOf(path)]));
  const isDone = new Set<string>();
  const cycles = sources.flatMap((path) => findCycle(path, imports, isDone) ?? []);
  t.deepEqual(cycles, []);
});
