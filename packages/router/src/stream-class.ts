import {
  combinePriorities,
  toPriorityLevel,
  type StreamAdmission,
  type StreamRank,
} from '@hemlocksill/routing/stream-admission.js';
import { retryAfterJitter, type CallContext } from './call-context.js';
import type { RunDeps } from './run-deps.js';

/** Part of a caller's remaining time that it waits at most before it comes back. */
const maxRetryShare = 1 / 3;

/** Dependencies of a stream's class; without `admission`, streams have an order only at their VM. */
export type StreamClassDeps = Pick<
  RunDeps,
  'predictEngineWaitMs' | 'timing' | 'limits' | 'metrics' | 'notifyWaiting' | 'now'
> & { readonly admission: StreamAdmission | undefined };

/** The priority and workspace of one stream, and what depends on them. */
export interface StreamClass {
  readonly rank: StreamRank;
  /** Time at which the caller was refused before, if it has returned. */
  readonly refusedAt: number | undefined;
  readonly predictWaitMs: (tokens: number, softwareVersion: string | undefined) => number;
  /** Time after which a refused caller should come back. */
  readonly getRetryDelayMs: (predictedWaitMs: number) => number;
  /** Records that the stream waits. */
  readonly recordWaiting: () => void;
  /** Records that the stream got memory. */
  readonly recordSent: () => void;
  /** Records a refusal for lack of memory. */
  readonly recordRefusal: (retryAfterMs: number) => void;
}

/**
 * Makes the class of a stream that has just arrived.
 *
 * @example
 * makeStreamClass(deps, ctx).predictWaitMs(3_008, undefined);
 */
export const makeStreamClass = (
  deps: StreamClassDeps,
  ctx: Pick<CallContext, 'service' | 'workspace' | 'route' | 'call' | 'timeoutAt'>,
): StreamClass => {
  const { admission } = deps;
  const { promptTokens, expectedOutputTokens = 0 } = ctx.call.metadata;
  const service = ctx.service.name;
  const workspacePriority = ctx.workspace?.priority;
  const priorityLevel = toPriorityLevel(workspacePriority, ctx.route.priority);
  const rank: StreamRank = {
    service,
    workspace: ctx.workspace?.name ?? '',
    priority: admission
      ? combinePriorities(workspacePriority, ctx.route.priority)
      : (workspacePriority ?? ctx.route.priority),
  };
  const refusedAt = admission?.recordArrival(rank, promptTokens, deps.now());
  return {
    rank,
    refusedAt,
    predictWaitMs: (tokens, softwareVersion) => {
      const now = deps.now();
      if (!admission) return deps.predictEngineWaitMs(service, tokens, now, softwareVersion);
      const room = deps.limits.getRoom(
        service,
        (server) => softwareVersion === undefined || server.softwareVersion === softwareVersion,
      );
      return Math.max(admission.predictWaitMs(rank, tokens, now, softwareVersion), room.waitMs);
    },
    // While memory is exhausted, the streams that hold it have ended after the duration of a stream; earlier,
    // the caller would be refused again.
    getRetryDelayMs: (predictedWaitMs) =>
      Math.min(
        Math.max(predictedWaitMs, deps.timing.getStreamMs()),
        ((ctx.timeoutAt - deps.now()) * maxRetryShare) / (1 + retryAfterJitter),
      ),
    recordWaiting: () => {
      if (admission && admission.size() > 0) deps.notifyWaiting();
    },
    recordSent: () => admission?.recordSent(rank, promptTokens + expectedOutputTokens, deps.now()),
    recordRefusal: (retryAfterMs) => {
      if (!admission) return;
      admission.recordRefusal(rank, retryAfterMs, deps.now(), refusedAt);
      deps.metrics.refusedStreams.inc({
        priority: String(priorityLevel),
        before: refusedAt === undefined ? 'no' : 'yes',
      });
    },
  };
};
