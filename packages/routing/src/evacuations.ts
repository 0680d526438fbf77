/** What is known of the evacuation of a data centre: name, store revision of the change, and the state since. */
export type EvacuationRow = readonly [dataCentre: string, revision: number, isEvacuated: boolean];

/** A change of the state of a data centre. */
export interface EvacuationChange {
  readonly dataCentre: string;
  readonly isEvacuated: boolean;
}

/** Data centres that no request may be sent to; an older revision never replaces a newer one. */
export interface Evacuations {
  /** Applies rows from a watch or a peer; returns the changes. */
  readonly applyRows: (rows: readonly EvacuationRow[]) => EvacuationChange[];
  /** Applies a listing, which shows all evacuated data centres at a revision; returns the changes. */
  readonly applyListing: (revision: number, rows: readonly EvacuationRow[]) => EvacuationChange[];
  readonly isEvacuated: (dataCentre: string) => boolean;
  readonly listEvacuated: () => readonly string[];
  /** Returns all that is known, also of data centres that were taken back. */
  readonly listRows: () => EvacuationRow[];
}

/**
 * Creates a record without evacuated data centres.
 *
 * Changes arrive from a watch, a listing or a peer, in any order. A peer may have missed that a data centre was
 * taken back: its row is older than the latest listing here, which doesn't show the data centre any more.
 *
 * @example
 * const evacuations = makeEvacuations();
 * evacuations.applyRows([['north-a', 12, true]]);
 * evacuations.isEvacuated('north-a'); // true
 */
export const makeEvacuations = (): Evacuations => {
  const known = new Map<string, EvacuationRow>();
  const evacuated = new Set<string>();
  let listedRevision = 0;

  const applyRow = (row: EvacuationRow): EvacuationChange[] => {
    const [dataCentre, revision, isEvacuated] = row;
    const current = known.get(dataCentre);
    if (current && current[1] >= revision) return [];
    const isOutdated = isEvacuated && revision <= listedRevision;
    known.set(dataCentre, isOutdated ? [dataCentre, listedRevision, false] : row);
    const isEvacuatedNow = isEvacuated && !isOutdated;
    if (isEvacuatedNow === evacuated.has(dataCentre)) return [];
    if (isEvacuatedNow) evacuated.add(dataCentre);
    else evacuated.delete(dataCentre);
    return [{ dataCentre, isEvacuated: isEvacuatedNow }];
  };

  return {
    applyRows: (rows) => rows.flatMap(applyRow),
    applyListing: (revision, rows) => {
      const listed = new Set(rows.map(([dataCentre]) => dataCentre));
      const removals = [...evacuated]
        .filter((dataCentre) => !listed.has(dataCentre))
        .map((dataCentre): EvacuationRow => [dataCentre, revision, false]);
      const changes = [...rows, ...removals].flatMap(applyRow);
      listedRevision = Math.max(listedRevision, revision);
      return changes;
    },
    isEvacuated: (dataCentre) => evacuated.has(dataCentre),
    listEvacuated: () => [...evacuated],
    listRows: () => [...known.values()],
  };
};
