import type { WaitingStream } from './stream-queue.js';

/** Separates the fields of a row's key; not part of names. */
const separator = '\t';

/** Second field of the key of a row. VMs of the release before ignore rows with this field. */
const boundTag = 'bound';

/** Tokens that waiting streams need, by key; part of the messages between VMs. */
export type WaitingRows = Readonly<Record<string, number>>;

/**
 * Adds up the tokens that streams wait for which have begun, by service, priority and software version. Fewer
 * engines can take them than new ones, so that other VMs leave the memory of these engines to them.
 *
 * @example
 * listBoundRows([stream]); // { 'llm\tbound\t1\tv1': 3_008 }
 */
export const listBoundRows = (streams: readonly WaitingStream[]): WaitingRows => {
  const rows: Record<string, number> = {};
  streams.forEach(({ service, priority, softwareVersion, neededTokens }) => {
    if (softwareVersion === undefined) return;
    const key = [service, boundTag, priority, softwareVersion].join(separator);
    rows[key] = (rows[key] ?? 0) + neededTokens;
  });
  return rows;
};

/**
 * Returns the tokens that streams of a service wait for which have begun, by software version; only those that
 * come before new streams of the priority.
 *
 * @example
 * countBoundTokens([{ 'llm\tbound\t1\tv1': 3_008 }], 'llm', 1).get('v1'); // 3_008
 */
export const countBoundTokens = (
  rowsByVm: readonly WaitingRows[],
  service: string,
  priority: number,
): ReadonlyMap<string, number> => {
  const tokensByVersion = new Map<string, number>();
  const keyStart = [service, boundTag, ''].join(separator);
  rowsByVm.forEach((rows) =>
    Object.keys(rows).forEach((key) => {
      // Most rows of a large fleet are of other kinds.
      if (!key.startsWith(keyStart)) return;
      const [rowPriority, version] = key.slice(keyStart.length).split(separator);
      if (version === undefined || !(Number(rowPriority) <= priority)) return;
      tokensByVersion.set(version, (tokensByVersion.get(version) ?? 0) + (rows[key] ?? 0));
    }),
  );
  return tokensByVersion;
};
