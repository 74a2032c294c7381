/** Sections and pairs of an INI file with the lines they stand on, which `ini` itself does not keep. */
import { parse } from 'ini';

/** One `key = value` of a section. */
export interface IniPair {
  readonly key: string;
  readonly value: string;
  /** Line in the file, from 1. */
  readonly line: number;
}

/** One section; pairs before the first header stand in a section with an empty name. */
export interface IniSection {
  readonly name: string;
  readonly line: number;
  readonly pairs: readonly IniPair[];
}

/** Reads `text`; values come from `ini`, line by line, so that each keeps its line number. */
export function parseIniSections(text: string): IniSection[] {
  const sections: Array<{ name: string; line: number; pairs: IniPair[] }> = [];
  let current = { name: '', line: 1, pairs: [] as IniPair[] };
  text.split(/\r?\n/).forEach((lineText, index) => {
    const line = index + 1;
    const header = /^\s*\[([^\]]*)\]\s*$/.exec(lineText);
    if (header !== null) {
      current = { name: header[1]!.trim(), line, pairs: [] };
      sections.push(current);
      return;
    }
    for (const [key, value] of Object.entries(parse(lineText))) {
      current.pairs.push({ key, value: String(value), line });
    }
    if (current.pairs.length > 0 && sections.length === 0) {
      sections.push(current);
    }
  });
  return sections;
}
