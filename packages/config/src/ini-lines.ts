import { parse } from 'ini';
import type { ConfigProblem } from '@hemlocksill/errors/config-errors.js';

/** A section of an INI text. */
export interface IniSection {
  /** Header text, for example `workspace forge`. */
  readonly header: string;
  readonly line: number;
  readonly values: Readonly<Record<string, string>>;
  /** Line number of each field. */
  readonly lines: Readonly<Record<string, number>>;
}

/** The sections of an INI text and its syntax errors. */
export interface IniText {
  readonly sections: readonly IniSection[];
  readonly problems: readonly ConfigProblem[];
}

interface OpenSection {
  header: string;
  line: number;
  body: string[];
  lines: Record<string, number>;
}

const getFieldName = (line: string): string => (line.split('=')[0] ?? '').trim();

/** Maximum number of cached section bodies; most sections do not change between revisions. */
const maxCachedBodies = 16_384;

const bodyCache = new Map<string, Readonly<Record<string, string>>>();

const parseBody = (body: readonly string[]): Readonly<Record<string, string>> => {
  const text = body.join('\n');
  const cached = bodyCache.get(text);
  if (cached) return cached;
  const parsed = parse(text) as Record<string, unknown>;
  const fields = Object.fromEntries(Object.entries(parsed).map(([k, v]) => [k, String(v)]));
  if (bodyCache.size >= maxCachedBodies) bodyCache.clear();
  bodyCache.set(text, fields);
  return fields;
};

const closeSection = (open: OpenSection): IniSection => ({
  header: open.header,
  line: open.line,
  values: parseBody(open.body),
  lines: open.lines,
});

const addField = (open: OpenSection, text: string, line: number, problems: ConfigProblem[]) => {
  const name = getFieldName(text);
  const field = `${open.header}.${name}`;
  if (!text.includes('=') || !/^[a-z][a-z0-9-]*$/.test(name)) {
    problems.push({ line, field: open.header, reason: 'expected "field = value"' });
    return;
  }
  if (open.lines[name] !== undefined) {
    problems.push({ line, field, reason: `given twice, first on line ${open.lines[name]}` });
    return;
  }
  open.lines[name] = line;
  open.body.push(text);
};

/**
 * Splits an INI text into sections and records line numbers for error messages.
 *
 * @example
 * readIniSections('[workspace forge]\nrate = 5').sections[0]?.lines.rate; // 2
 */
export const readIniSections = (text: string): IniText => {
  const problems: ConfigProblem[] = [];
  const sections: OpenSection[] = [];
  const firstLines = new Map<string, number>();
  text.split(/\r?\n/).forEach((rawLine, index) => {
    const line = index + 1;
    const trimmed = rawLine.trim();
    if (trimmed === '' || trimmed.startsWith(';') || trimmed.startsWith('#')) return;
    const header = /^\[([^\]]+)\]$/.exec(trimmed)?.[1]?.trim().replace(/\s+/g, ' ');
    const open = sections.at(-1);
    if (header !== undefined) {
      const firstLine = firstLines.get(header);
      if (firstLine !== undefined)
        problems.push({ line, field: header, reason: `given twice, first on line ${firstLine}` });
      firstLines.set(header, line);
      sections.push({ header, line, body: [], lines: {} });
    } else if (open === undefined) {
      problems.push({ line, field: trimmed, reason: 'stands before the first section' });
    } else {
      addField(open, trimmed, line, problems);
    }
  });
  return { sections: sections.map(closeSection), problems };
};
