import type { Filter } from '../request-context.js';
import type { RequestTable } from '../request-table.js';

/** Lists a request as live, so that its key's withdrawal ends it. */
export const makeTrackRequest =
  (table: RequestTable): Filter =>
  async (ctx, next) => {
    table.add({
      id: ctx.id,
      workspace: ctx.workspace?.name ?? '',
      class: ctx.class,
      startedAt: ctx.receivedAt,
      keyId: ctx.key?.id,
      endForKey: () => {
        ctx.keyWithdrawn = true;
        ctx.abort.abort();
      },
    });
    const result = await next(ctx);
    table.remove(ctx.id);
    return result;
  };
