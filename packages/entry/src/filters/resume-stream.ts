import { err } from 'neverthrow';
import { refuseBadRequest, refuseNotFound } from '@hemlocksill/errors/refusals.js';
import type { Handler } from '../request-context.js';
import { verifyResumeHandle } from '../resume-handle.js';
import { resumeCompletion, type ResumeOptions } from '../run-completion.js';

/** Creates the handler that sends a caller the rest of a stream. */
export const makeResumeStream =
  (opts: ResumeOptions, secrets: () => readonly string[]): Handler =>
  async (ctx) => {
    const handle = verifyResumeHandle(String(ctx.headers['x-resume-handle'] ?? ''), secrets());
    if (!handle) return err(refuseBadRequest('the resume handle is not valid'));
    // A caller with another workspace's handle must not learn whether the stream exists.
    if (handle.workspace !== ctx.workspace?.name)
      return err(refuseNotFound('the stream is no longer held'));
    const from = Number(ctx.headers['last-event-id'] ?? 0);
    if (!Number.isInteger(from) || from < 0)
      return err(refuseBadRequest('Last-Event-ID must be a whole number'));
    const server = ctx.snapshot.document.backendServers.get(handle.server);
    if (!server) return err(refuseNotFound('the stream is no longer held'));
    return resumeCompletion(opts, ctx, {
      server,
      streamId: handle.streamId,
      model: handle.model,
      from,
    });
  };
