import { err, ok, type Result } from 'neverthrow';
import type { CasRequest, Store, StoreFault } from '@hemlocksill/types/ports.js';

/** Outcome of a compare-and-swap; a lost response has been resolved by reading the key. */
export type WriteOutcome =
  | { readonly kind: 'written'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly value: string | undefined; readonly revision: number };

/**
 * Writes by compare-and-swap and reads the key back when the response is lost.
 *
 * The value must identify its writer and attempt, so that reading back an equal value
 * proves that this write took effect. An error means that the outcome is still unknown.
 *
 * @example
 * const req = { key: '/a', expected: 0, value: '{"writer":"vm-1","attempt":4}' };
 * const outcome = await writeAndSettle(store, req);
 */
export const writeAndSettle = async (
  store: Store,
  req: CasRequest,
): Promise<Result<WriteOutcome, StoreFault>> => {
  const response = await store.cas(req);
  if (response.isOk()) {
    const { value } = response;
    if (value.kind === 'written') return ok(value);
    // A previous send of the same write may already have taken effect.
    if (value.current !== undefined && value.current.value === req.value)
      return ok({ kind: 'written', revision: value.current.revision });
    return ok({
      kind: 'conflict',
      value: value.current?.value,
      revision: value.current?.revision ?? 0,
    });
  }
  if (response.error === 'lease-gone' || response.error === 'overloaded')
    return err(response.error);
  const current = await store.get(req.key);
  if (current.isErr()) return err(response.error);
  const revision = current.value?.revision ?? 0;
  if (current.value?.value === req.value) return ok({ kind: 'written', revision });
  // The key is unchanged, but the request may still be in flight and write it later.
  if (revision === req.expected) return err(response.error);
  return ok({ kind: 'conflict', value: current.value?.value, revision });
};
