import type { Filter } from '../request-context.js';
import type { RequestTable } from '../request-table.js';

/** Creates the filter that registers a request as live, so that withdrawing its key aborts it. */
export const makeTrackRequest =
  (table: RequestTable): Filter =>
  async (ctx, next) => {
    table.add({
      id: ctx.id,
      workspace: ctx.workspace?.name ?? '',
      class: ctx.class,
      startedAt: ctx.receivedAt,
      keyId: ctx.key?.id,
      cancelForWithdrawnKey: () => {
        ctx.isKeyWithdrawn = true;
        ctx.abort.abort();
      },
    });
    const result = await next(ctx);
    table.remove(ctx.id);
    return result;
  };
