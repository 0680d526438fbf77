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

/** An answer to a caller. */
export type Reply =
  /** Already written to the connection, as streams are. */
  | { readonly kind: 'sent' }
  | {
      readonly kind: 'whole';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
      readonly body: string | Buffer;
    };

/** A reply, or a refusal with its outcome. */
export type ReplyResult = Result<Reply, Refusal>;

/** What is known about one request on its way through the filters. */
export interface RequestContext {
  readonly id: string;
  readonly receivedAt: number;
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly method: string;
  readonly path: string;
  /** Query with its question mark, or empty. */
  readonly query: string;
  readonly headers: IncomingHttpHeaders;
  /** Configuration in force when the request came. */
  readonly snapshot: Snapshot;
  /** Aborted when the caller has gone or its key was withdrawn. */
  readonly abort: AbortController;
  keyWithdrawn: boolean;
  /** Whether it took longer than the document allows. */
  timedOut: boolean;
  /** Whether a stream that had begun ended with an error. */
  streamFailed: boolean;
  body: Buffer;
  key: KeyRecord | undefined;
  workspace: Workspace | undefined;
  class: RequestClass;
  completion: CompletionRequest | undefined;
  route: ServiceRoute | undefined;
  /** Tokens charged in the end. */
  usedTokens: number;
  firstTokenAt: number | undefined;
  longestGapMs: number;
  outputTokens: number;
  wastedPrefillTokens: number;
}

/** Answers a request. */
export type Handler = (ctx: RequestContext) => Promise<ReplyResult>;

/** One step of a request: answers it or passes it on. */
export type Filter = (ctx: RequestContext, next: Handler) => Promise<ReplyResult>;

/**
 * Chains filters in front of a handler.
 *
 * @example
 * const handle = composeFilters([identify, readBody], answer);
 */
export const composeFilters = (filters: readonly Filter[], handler: Handler): Handler =>
  filters.reduceRight<Handler>((next, filter) => (ctx) => filter(ctx, next), handler);
