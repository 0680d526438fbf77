import { err, ok, type Result } from 'neverthrow';
import type { CasRequest, Store, StoreFault } from '@hemlocksill/types/ports.js';

/** How a compare-and-swap ended, after a lost answer has been settled by reading. */
export type WriteOutcome =
  | { readonly kind: 'written'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly value: string | undefined; readonly revision: number };

/**
 * Writes by compare-and-swap and, when the answer is lost, reads the key back.
 *
 * The value must name its writer, so that an equal value proves that this write took
 * effect. An error means that the outcome is still unknown.
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
    // An earlier send of the same write may have taken effect already.
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
  // An unchanged key may still be written by the request that is under way.
  if (revision === req.expected) return err(response.error);
  return ok({ kind: 'conflict', value: current.value?.value, revision });
};
