import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { CallContext } from './call-context.js';
import type { RunDeps } from './run-deps.js';

/**
 * Logs the engines of a stream with what their choice depended on.
 *
 * @example
 * logPlacement(deps, ctx, 3_008, decode, prefill, 0);
 */
export const logPlacement = (
  deps: Pick<RunDeps, 'log' | 'engineLedger' | 'rates' | 'now'>,
  ctx: Pick<CallContext, 'call' | 'arrivedAt'>,
  promptTokens: number,
  decode: BackendServer,
  prefill: BackendServer | undefined,
  fullReservations: number,
): void =>
  deps.log(2305, {
    id: ctx.call.metadata.id,
    prefill: prefill?.id,
    decode: decode.id,
    startedAt: decode.startedAt,
    softwareVersion: decode.softwareVersion,
    prefillVersion: prefill?.softwareVersion,
    promptTokens,
    used: deps.engineLedger.getTotal(decode.id, deps.now()).tokens,
    tokensPerS: Math.round(deps.rates.getEngineOutputTokensPerS(decode)),
    fullReservations,
    waitedMs: Math.round(deps.now() - ctx.arrivedAt),
  });
