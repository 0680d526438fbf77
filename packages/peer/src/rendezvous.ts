import { createHash } from 'node:crypto';

/** Maximum number of cached name hashes; the cache saves hashing the same names per ranking. */
const maxCachedHashes = 4_096;

const hashCache = new Map<string, number>();

const hashName = (name: string): number => {
  const cached = hashCache.get(name);
  if (cached !== undefined) return cached;
  if (hashCache.size >= maxCachedHashes) hashCache.clear();
  const hash = createHash('sha256').update(name).digest().readUInt32BE(0);
  hashCache.set(name, hash);
  return hash;
};

/** Mixes the bits of a 32-bit number with the finalizer of MurmurHash3. */
const mixBits = (value: number): number => {
  let h = value;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
};

/**
 * Sorts candidates by rendezvous hash. The first one is responsible for the key; removing
 * a candidate reassigns only the keys that it was responsible for.
 *
 * @example
 * rankByRendezvous(['vm-1', 'vm-2'], 'pool/reader')[0]; // the responsible VM
 */
export const rankByRendezvous = (names: readonly string[], key: string): string[] => {
  const keyHash = mixBits(hashName(key));
  const scored = names.map((name) => ({ name, score: mixBits(hashName(name) ^ keyHash) }));
  scored.sort((a, b) => {
    if (a.score === b.score) return a.name < b.name ? -1 : 1;
    return b.score - a.score;
  });
  return scored.map((s) => s.name);
};
