/** Number of revisions that the store can assign within one era. */
const revisionsPerEra = 2 ** 40;

/**
 * Combines a revision with the era in which the store assigned it. The era rises each time the
 * store is restored from a copy, after which it assigns the same revisions again; a combined
 * revision of a later era is greater than all revisions of earlier ones.
 *
 * @example
 * makeStoreRevision(1, 7) > makeStoreRevision(0, 900); // true
 */
export const makeStoreRevision = (era: number, revision: number): number =>
  era * revisionsPerEra + revision;

/** Returns the era of a combined revision. */
export const getStoreEra = (revision: number): number => Math.floor(revision / revisionsPerEra);

/** Returns the revision as the store assigned it within its era. */
export const getRevisionInEra = (revision: number): number => revision % revisionsPerEra;
