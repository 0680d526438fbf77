/**
 * Minimum number of VMs in a fleet in which a change is sent only to the VMs that it affects; the
 * others receive it with the sender's next full message.
 */
export const selectiveSendMinVms = 24;

/** A change at this VM that other VMs need to know. */
export type FleetChange =
  /** A request was placed at an engine or released from it. */
  | { readonly kind: 'load'; readonly dataCentre: string }
  /** A workspace whose rate-limit bucket is low was charged. */
  | { readonly kind: 'low-rate' }
  /** An engine starts or ends a change of its stage. */
  | { readonly kind: 'stage' }
  /** A prefill engine failed in a way that other VMs would meet, too. */
  | { readonly kind: 'failing' }
  /** An engine crashed on a prompt, or survived one that is suspected or blocked. */
  | { readonly kind: 'crash' }
  /** The list of backend servers changed, or whether the store can be reached. */
  | { readonly kind: 'view'; readonly isWatcher: boolean }
  | { readonly kind: 'config'; readonly isWatcher: boolean };

/** Recipients of a change: all VMs, a few random ones, or those in a set of data centres. */
export type Recipients = 'fleet' | 'few' | ReadonlySet<string>;

/**
 * Chooses the recipients of a change.
 *
 * Load pattern: every VM of a large fleet places a stream per second. Sending each placement to
 * all VMs would cost more than the streams themselves. A change may reach other data centres late
 * because VMs prefer the engines in their own data centre, and an engine without free memory
 * rejects a request that a VM elsewhere placed there on outdated information.
 *
 * @param localDataCentre - data centre of this VM
 * @param vms - number of VMs in the fleet, as far as this VM knows
 * @example
 * chooseRecipients({ kind: 'load', dataCentre: 'north-b' }, 'north-a', 90); // Set { 'north-a', 'north-b' }
 */
export const chooseRecipients = (
  change: FleetChange,
  localDataCentre: string,
  vms: number,
): Recipients => {
  if (vms < selectiveSendMinVms) return 'fleet';
  switch (change.kind) {
    case 'load':
      return new Set([localDataCentre, change.dataCentre]);
    case 'view':
      // Watchers tell all VMs; a reader only passes a change on to a few that may have missed it.
      return change.isWatcher ? 'fleet' : 'few';
    case 'config':
      // VMs fetch a configuration from one in their own data centre if they can.
      return change.isWatcher ? 'fleet' : new Set([localDataCentre]);
    default:
      return 'fleet';
  }
};

/**
 * Returns the union of two sets of recipients.
 *
 * @example
 * mergeRecipients(new Set(['north-a']), 'fleet'); // 'fleet'
 */
export const mergeRecipients = (first: Recipients, second: Recipients): Recipients => {
  if (first === 'fleet' || second === 'fleet') return 'fleet';
  if (first === 'few') return second === 'few' || second.size === 0 ? 'few' : second;
  if (second === 'few') return first.size === 0 ? 'few' : first;
  return new Set([...first, ...second]);
};
