import {
  makeEvacuations,
  type EvacuationChange,
  type EvacuationRow,
} from '@hemlocksill/routing/evacuations.js';
import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/** Where a VM learned of a change. */
export type EvacuationSource = 'watch' | 'listing' | 'peer';

/** Dependencies of the controller. */
export interface EvacuationControllerDeps {
  /** Whether a data centre has servers or VMs. */
  readonly isKnown: (dataCentre: string) => boolean;
  /** Called after a change, once the controller has the new state. */
  readonly onChange: (change: EvacuationChange) => void;
  readonly log: LogRouterEvent;
  readonly metrics: Pick<RouterMetrics, 'evacuatedDataCentres'>;
}

/** Keeps which data centres are evacuated. */
export interface EvacuationController {
  readonly applyRows: (rows: readonly EvacuationRow[], source: EvacuationSource) => void;
  readonly applyListing: (revision: number, rows: readonly EvacuationRow[]) => void;
  readonly isEvacuated: (dataCentre: string) => boolean;
  readonly hasEvacuated: () => boolean;
  readonly listRows: () => EvacuationRow[];
}

/**
 * Makes the controller of a VM.
 *
 * @example
 * makeEvacuationController(deps).isEvacuated('north-a'); // false
 */
export const makeEvacuationController = (deps: EvacuationControllerDeps): EvacuationController => {
  const { log, metrics } = deps;
  const evacuations = makeEvacuations();

  const report = (changes: readonly EvacuationChange[], source: EvacuationSource): void =>
    changes.forEach((change) => {
      const { dataCentre, isEvacuated } = change;
      if (isEvacuated && !deps.isKnown(dataCentre)) log(2118, { dataCentre, source });
      else log(isEvacuated ? 2117 : 2119, { dataCentre, source });
      metrics.evacuatedDataCentres.set(evacuations.listEvacuated().length);
      deps.onChange(change);
    });

  return {
    applyRows: (rows, source) => report(evacuations.applyRows(rows), source),
    applyListing: (revision, rows) => report(evacuations.applyListing(revision, rows), 'listing'),
    isEvacuated: evacuations.isEvacuated,
    hasEvacuated: () => evacuations.listEvacuated().length > 0,
    listRows: evacuations.listRows,
  };
};
