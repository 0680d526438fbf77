import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import type {
  KeyRecord,
  ServiceRoute,
  Snapshot,
  Workspace,
} from '@hemlocksill/types/config-document.js';
import type { Refusal, RequestClass } from '@hemlocksill/types/requests.js';
import type { CompletionRequest } from './completion-request.js';

/** Response to a caller. */
export type CallerResponse =
  /** Already written to the connection, as for an event stream. */
  | { readonly kind: 'sent' }
  | {
      readonly kind: 'complete';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
      readonly body: string | Buffer;
    };

/** Response of a handler, or a refusal with its outcome. */
export type HandlerResult = Result<CallerResponse, Refusal>;

/** State of one request while it passes through the filters. */
export interface RequestContext {
  readonly id: string;
  readonly receivedAt: number;
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly method: string;
  readonly path: string;
  /** Query string including its question mark, or empty. */
  readonly query: string;
  readonly headers: IncomingHttpHeaders;
  /** Configuration that was in force when the request arrived. */
  readonly snapshot: Snapshot;
  /** Aborted when the client disconnects, its key is withdrawn or the request takes too long. */
  readonly abort: AbortController;
  /** Whether the key of the request was withdrawn while the request was in progress. */
  isKeyWithdrawn: boolean;
  /** Whether the request exceeded the document's `max-request-ms`. */
  hasTimedOut: boolean;
  /** Whether a stream ended with an error after its first event was sent. */
  hasStreamFailed: boolean;
  body: Buffer;
  key: KeyRecord | undefined;
  workspace: Workspace | undefined;
  class: RequestClass;
  completion: CompletionRequest | undefined;
  route: ServiceRoute | undefined;
  /** Tokens that the workspace is charged when the request ends. */
  usedTokens: number;
  firstTokenAt: number | undefined;
  /** Maximum time between two tokens, in milliseconds. */
  maxTokenGapMs: number;
  outputTokens: number;
  wastedPrefillTokens: number;
}

/** Produces the response to a request. */
export type Handler = (ctx: RequestContext) => Promise<HandlerResult>;

/** Middleware: responds to the request itself or calls `next`. */
export type Filter = (ctx: RequestContext, next: Handler) => Promise<HandlerResult>;

/**
 * Composes filters and a handler into one handler; the first filter is the outermost.
 *
 * @example
 * const handle = composeFilters([authenticate, readBody], runCompletion);
 */
export const composeFilters = (filters: readonly Filter[], handler: Handler): Handler =>
  filters.reduceRight<Handler>((next, filter) => (ctx) => filter(ctx, next), handler);
