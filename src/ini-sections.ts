/** Parses INI files into sections with line numbers, which the `ini` package does not provide. */
import { parse } from 'ini';

/** One `key = value` pair. */
export interface IniPair {
  readonly key: string;
  readonly value: string;
  /** 1-based line number. */
  readonly line: number;
}

/** One section; pairs before the first header belong to a section with an empty name. */
export interface IniSection {
  readonly name: string;
  /** 1-based line number of the header. */
  readonly line: number;
  readonly pairs: readonly IniPair[];
}

/** Parses `text` with the `ini` package one line at a time, to keep the line numbers. */
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
