/** Reads an INI document into a map from `[section] name` to the value. */
const parseFields = (text: string): Map<string, string> => {
  const fields = new Map<string, string>();
  let section = '';
  text.split(/\r?\n/).forEach((rawLine) => {
    const line = rawLine.trim();
    if (line === '' || line.startsWith(';') || line.startsWith('#')) return;
    const header = /^\[([^\]]+)\]$/.exec(line)?.[1];
    if (header !== undefined) {
      section = header;
      fields.set(`[${section}]`, '');
      return;
    }
    const separatorIndex = line.indexOf('=');
    fields.set(
      `[${section}] ${line.slice(0, separatorIndex).trim()}`,
      line.slice(separatorIndex + 1).trim(),
    );
  });
  return fields;
};

const renderField = (name: string, value: string): string =>
  value === '' ? name : `${name} = ${value}`;

/**
 * Compares two documents field by field; the order of sections and fields does not matter.
 *
 * @example
 * diffFields('[a]\nx = 1', '[a]\nx = 2'); // ['- [a] x = 1', '+ [a] x = 2']
 */
export const diffFields = (before: string, after: string): string[] => {
  const oldFields = parseFields(before);
  const newFields = parseFields(after);
  const names = [...new Set([...oldFields.keys(), ...newFields.keys()])].sort();
  return names.flatMap((name) => {
    const oldValue = oldFields.get(name);
    const newValue = newFields.get(name);
    if (oldValue === newValue) return [];
    return [
      ...(oldValue === undefined ? [] : [`- ${renderField(name, oldValue)}`]),
      ...(newValue === undefined ? [] : [`+ ${renderField(name, newValue)}`]),
    ];
  });
};
