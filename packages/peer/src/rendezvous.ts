import { createHash } from 'node:crypto';

const scoreOf = (name: string, key: string): bigint =>
  createHash('sha256').update(name).update('\0').update(key).digest().readBigUInt64BE(0);

/**
 * Sorts candidates by rendezvous hash: the first is responsible for the key, and the
 * loss of one candidate moves only that candidate's keys.
 *
 * @example
 * rankByRendezvous(['vm-1', 'vm-2'], 'pool/reader')[0]; // the responsible VM
 */
export const rankByRendezvous = (names: readonly string[], key: string): string[] => {
  const scored = names.map((name) => ({ name, score: scoreOf(name, key) }));
  scored.sort((a, b) => {
    if (a.score === b.score) return a.name < b.name ? -1 : 1;
    return a.score > b.score ? -1 : 1;
  });
  return scored.map((s) => s.name);
};
