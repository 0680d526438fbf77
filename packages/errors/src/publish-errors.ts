import type { StoreFault } from '@hemlocksill/types/ports.js';

/**
 * Why a change was not published.
 *
 * - `superseded`: another operator's change came first; nothing of this one took effect.
 * - `rejected`: the change does not fit what is in force.
 * - `store`: the store gave no answer, and the change did not take effect.
 * - `unknown`: the store gave no answer, and the change may have taken effect.
 */
export type PublishFault =
  | { readonly kind: 'superseded'; readonly revision: number }
  | { readonly kind: 'rejected'; readonly reason: string }
  | { readonly kind: 'store'; readonly fault: StoreFault }
  | { readonly kind: 'unknown'; readonly writeId: string };
