/** Finds where sources end connections, responses, servers and processes, by the types of Node. */
import { readdirSync } from 'node:fs';
import { join, relative } from 'node:path';
import ts from 'typescript';

/** Members that end an object, by the name of its class in Node. */
const ENDING_MEMBERS: Readonly<Record<string, readonly string[]>> = {
  Duplex: ['destroy', 'destroySoon', 'end', 'resetAndDestroy'],
  IncomingMessage: ['destroy'],
  ServerResponse: ['destroy', 'end'],
  Server: ['close', 'closeAllConnections', 'closeIdleConnections'],
  Process: ['abort', 'exit', 'kill', 'reallyExit'],
};

const MEMBERS = new Set(Object.values(ENDING_MEMBERS).flat());

/** The ends in each module that has any: class and member, sorted. */
export type EndsByModule = Readonly<Record<string, readonly string[]>>;

/** Source files by path; they take the place of the files with these paths. */
export type SourceOverlay = ReadonlyMap<string, string>;

/** Returns the paths of the modules in a folder. */
export function listModules(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    return entry.isDirectory() ? listModules(path) : path.endsWith('.ts') ? [path] : [];
  });
}

/** Returns a program of the modules in `paths` and `overlay`. */
export function createProgram(paths: readonly string[], overlay: SourceOverlay = new Map()) {
  const { config } = ts.readConfigFile('tsconfig.json', (path) => ts.sys.readFile(path));
  const { options } = ts.parseJsonConfigFileContent(config, ts.sys, process.cwd());
  const host = ts.createCompilerHost(options);
  const { fileExists, readFile, getSourceFile } = host;
  const textOf = (path: string) => overlay.get(relative(process.cwd(), path));
  host.fileExists = (path) => textOf(path) !== undefined || fileExists(path);
  host.readFile = (path) => textOf(path) ?? readFile(path);
  host.getSourceFile = (path, language, ...others) => {
    const text = textOf(path);
    return text === undefined
      ? getSourceFile(path, language, ...others)
      : ts.createSourceFile(path, text, language);
  };
  return ts.createProgram([...paths, ...overlay.keys()], options, host);
}

/** Returns the ends in the modules of `folders`. */
export function findEnds(program: ts.Program, folders: readonly string[]): EndsByModule {
  const checker = program.getTypeChecker();
  const ends: Record<string, readonly string[]> = {};
  for (const source of program.getSourceFiles()) {
    const path = relative(process.cwd(), source.fileName);
    const isIncluded = folders.some((folder) => path.startsWith(`${folder}/`));
    const found = isIncluded ? findEndsIn(source, checker) : new Set<string>();
    if (found.size > 0) {
      ends[path] = [...found].sort();
    }
  }
  return ends;
}

function findEndsIn(source: ts.SourceFile, checker: ts.TypeChecker): Set<string> {
  const found = new Set<string>();
  const visit = (node: ts.Node) => {
    for (const { owner, member } of membersAt(node)) {
      const type = checker.getTypeAtLocation(owner);
      endsOf(type, member, checker).forEach((end) => found.add(end));
    }
    ts.forEachChild(node, visit);
  };
  visit(source);
  return found;
}

/** A member that is read from an object, called or not. */
interface MemberRead {
  readonly owner: ts.Node;
  readonly member: string;
}

/** Returns the members that a node reads and that may end their owner. */
function membersAt(node: ts.Node): MemberRead[] {
  return readsAt(node).filter(({ member }) => MEMBERS.has(member));
}

function readsAt(node: ts.Node): MemberRead[] {
  if (ts.isPropertyAccessExpression(node)) {
    return [{ owner: node.expression, member: node.name.text }];
  }
  if (ts.isElementAccessExpression(node) && ts.isStringLiteralLike(node.argumentExpression)) {
    return [{ owner: node.expression, member: node.argumentExpression.text }];
  }
  if (ts.isObjectBindingPattern(node)) {
    return node.elements.map(({ propertyName, name }) => ({
      owner: node,
      member: (propertyName ?? name).getText(),
    }));
  }
  return [];
}

function endsOf(type: ts.Type, member: string, checker: ts.TypeChecker): string[] {
  const classes = classNamesOf(checker.getNonNullableType(type));
  return [...classes]
    .filter((name) => ENDING_MEMBERS[name]?.includes(member) === true)
    .map((name) => `${name}.${member}`);
}

/** Names of the classes of Node among a type and its bases. */
function classNamesOf(type: ts.Type): Set<string> {
  if (type.isUnionOrIntersection()) {
    return new Set(type.types.flatMap((one) => [...classNamesOf(one)]));
  }
  const declared = (type as ts.TypeReference).target ?? type;
  const bases = declared.isClassOrInterface() ? (declared.getBaseTypes?.() ?? []) : [];
  const names = bases.flatMap((base) => [...classNamesOf(base)]);
  const isOfNode = type.symbol?.declarations?.some((declaration) =>
    declaration.getSourceFile().fileName.includes('/@types/node/'),
  );
  return new Set(isOfNode === true ? [type.symbol.name, ...names] : names);
}
