/**
 * Fleet from which a change is told only to the VMs that it concerns; the others learn of it
 * from the next whole message.
 */
const largeFleet = 24;

/** What changed at this VM. */
export type FleetChange =
  /** Work was placed at an engine, or has left it. */
  | { readonly kind: 'load'; readonly dataCentre: string }
  /** A workspace whose bucket is low was charged. */
  | { readonly kind: 'scarce-rate' }
  /** Configuration or list of backend servers moved on. */
  | { readonly kind: 'view'; readonly isWatcher: boolean };

/** Who is to hear of a change: all VMs, or those of some data centres. */
export type Recipients = 'fleet' | ReadonlySet<string>;

/**
 * Chooses who hears of a change.
 *
 * Load pattern: every VM of a large fleet places a stream a second; told to all of them, these
 * messages cost more than the streams. Engines are used first by the VMs of their own data
 * centre, and the engine itself turns away what a VM elsewhere places on an old view.
 *
 * @param own - data centre of this VM
 * @param vms - number of VMs that are believed to run
 * @example
 * chooseReach({ kind: 'load', dataCentre: 'north-b' }, 'north-a', 90); // Set { 'north-a', 'north-b' }
 */
export const chooseRecipients = (change: FleetChange, own: string, vms: number): Recipients => {
  if (vms < largeFleet) return 'fleet';
  switch (change.kind) {
    case 'load':
      return new Set([own, change.dataCentre]);
    case 'view':
      return change.isWatcher ? 'fleet' : new Set([own]);
    default:
      return 'fleet';
  }
};

/**
 * Widens a reach by another one.
 *
 * @example
 * joinReach(new Set(['north-a']), 'fleet'); // 'fleet'
 */
export const mergeRecipients = (one: Recipients, other: Recipients): Recipients =>
  one === 'fleet' || other === 'fleet' ? 'fleet' : new Set([...one, ...other]);
