import { writeFileSync } from 'node:fs';

/** Collects the lines of record.txt; times are in milliseconds since its creation. */
export const makeRecord = (file) => {
  const startedAt = performance.now();
  const lines = [];
  return {
    add: (kind, fields) => {
      const at = (performance.now() - startedAt).toFixed(1);
      const text = Object.entries(fields)
        .map(([name, value]) => `${name}=${value}`)
        .join(' ');
      lines.push(`${at} ${kind} ${text}`);
    },
    save: () => writeFileSync(file, `${lines.join('\n')}\n`),
  };
};
