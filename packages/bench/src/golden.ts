import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

/** Patterns of values that differ from run to run, with their placeholders. */
const replacements: readonly (readonly [RegExp, string])[] = [
  [/hsk_([a-z]+)_[0-9a-f]{12}_[0-9a-f]{48}/g, 'hsk_$1_ID_SECRET'],
  [/hik_[0-9a-f_]+/g, 'hik_ISSUED'],
  [/req-[0-9a-f]{24}/g, 'req-ID'],
  [/"created":\d+/g, '"created":0'],
  [/"(id|writeId)":"[0-9a-f]{12,16}"/g, '"$1":"ID"'],
  [/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME'],
  [/127\.0\.0\.1:\d+/g, '127.0.0.1:PORT'],
  [/"run":\d+/g, '"run":0'],
];

/** Replaces values that differ from run to run with placeholders. */
export const normalizeText = (text: string): string =>
  replacements.reduce(
    (result, [pattern, replacement]) => result.replace(pattern, replacement),
    text,
  );

/**
 * Reads the golden file of a session. Writes it from `actual` first if it does not exist or if the
 * environment variable UPDATE_GOLDEN is set.
 *
 * @returns the content of the golden file
 */
export const readGolden = (name: string, actual: unknown): unknown => {
  const file = fileURLToPath(new URL(`../golden/${name}.golden.json`, import.meta.url));
  if (process.env.UPDATE_GOLDEN !== undefined || !existsSync(file))
    writeFileSync(file, `${JSON.stringify(actual, null, 2)}\n`);
  return JSON.parse(readFileSync(file, 'utf8')) as unknown;
};
