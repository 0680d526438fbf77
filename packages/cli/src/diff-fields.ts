const toSections = (text: string): Map<string, string> => {
  const fields = new Map<string, string>();
  let section = '';
  text.split(/\r?\n/).forEach((raw) => {
    const line = raw.trim();
    if (line === '' || line.startsWith(';') || line.startsWith('#')) return;
    const header = /^\[([^\]]+)\]$/.exec(line)?.[1];
    if (header !== undefined) {
      section = header;
      fields.set(`[${section}]`, '');
      return;
    }
    const at = line.indexOf('=');
    fields.set(`[${section}] ${line.slice(0, at).trim()}`, line.slice(at + 1).trim());
  });
  return fields;
};

const render = (name: string, value: string): string =>
  value === '' ? name : `${name} = ${value}`;

/**
 * Compares two documents field by field, whatever the order of their sections.
 *
 * @example
 * diffLines('[a]\nx = 1', '[a]\nx = 2'); // ['- [a] x = 1', '+ [a] x = 2']
 */
export const diffLines = (before: string, after: string): string[] => {
  const old = toSections(before);
  const now = toSections(after);
  const names = [...new Set([...old.keys(), ...now.keys()])].sort();
  return names.flatMap((name) => {
    const a = old.get(name);
    const b = now.get(name);
    if (a === b) return [];
    return [
      ...(a === undefined ? [] : [`- ${render(name, a)}`]),
      ...(b === undefined ? [] : [`+ ${render(name, b)}`]),
    ];
  });
};
