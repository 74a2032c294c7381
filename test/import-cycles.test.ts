import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';
import test from 'ava';

function listSourceFiles(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    return entry.isDirectory() ? listSourceFiles(path) : path.endsWith('.ts') ? [path] : [];
  });
}

function listImports(path: string): string[] {
  const text = readFileSync(path, 'utf8');
  const names = [...text.matchAll(/ from '(\.[^']+)\.js'/g)].map(([, name]) => name!);
  return names.map((name) => normalize(join(dirname(path), `${name}.ts`)));
}

/** Returns the first import cycle reachable from `path` through files not yet visited, if any. */
function findCycle(
  path: string,
  imports: ReadonlyMap<string, readonly string[]>,
  visited: Set<string>,
  trail: readonly string[] = [],
): readonly string[] | undefined {
  if (trail.includes(path)) {
    return [...trail.slice(trail.indexOf(path)), path];
  }
  if (visited.has(path)) {
    return undefined;
  }
  for (const next of imports.get(path) ?? []) {
    const cycle = findCycle(next, imports, visited, [...trail, path]);
    if (cycle !== undefined) {
      return cycle;
    }
  }
  visited.add(path);
  return undefined;
}

test('the modules of src and platform have no import cycles', (t) => {
  const sources = [...listSourceFiles('src'), ...listSourceFiles('platform')];
  const imports = new Map(sources.map((path) => [path, listImports(path)]));
  const visited = new Set<string>();
  const cycles = sources.flatMap((path) => findCycle(path, imports, visited) ?? []);
  t.deepEqual(cycles, []);
});
