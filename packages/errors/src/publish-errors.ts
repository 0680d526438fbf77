import type { StoreFault } from '@hemlocksill/types/ports.js';

/**
 * Why a change was not published.
 *
 * - `superseded`: another operator's change was published first; this one had no effect.
 * - `rejected`: the change is not valid for the revision in force.
 * - `store`: a store call failed, and the change did not take effect.
 * - `unknown`: a store call failed, and the change may have taken effect.
 */
export type PublishFault =
  | { readonly kind: 'superseded'; readonly revision: number }
  | { readonly kind: 'rejected'; readonly reason: string }
  | { readonly kind: 'store'; readonly fault: StoreFault }
  | { readonly kind: 'unknown'; readonly writeId: string };
