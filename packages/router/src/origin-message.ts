import type { StreamOrigin } from '@hemlocksill/routing/stream-origins.js';

/** First field of a message about the origin of a stream. */
export const originTag = 'origin';

/** What a VM knows of the origin of a stream. */
export type OriginAnswer =
  /** It remembers the stream. */
  | ({ readonly kind: 'begun' } & StreamOrigin)
  /** The service has had only this version for longer than a stream lives. */
  | ({ readonly kind: 'only' } & StreamOrigin)
  | { readonly kind: 'several' | 'unknown' };

/** A message between VMs about the origin of a stream. */
export type OriginMessage =
  | {
      readonly kind: 'told';
      readonly request: string;
      readonly origin: StreamOrigin;
      /** Time for which the caller may take the stream up, in milliseconds. */
      readonly lifeMs: number;
    }
  /** Asks the receiver to write the origin of a stream to the store. */
  | {
      readonly kind: 'record';
      readonly request: string;
      readonly origin: StreamOrigin;
      readonly lifeMs: number;
    }
  /** The record of software versions that the store has acknowledged. */
  | { readonly kind: 'versions'; readonly revision: number; readonly value: string }
  | {
      readonly kind: 'asked';
      /** Identifies the question among those of its sender. */
      readonly question: number;
      readonly request: string;
      readonly service: string;
    }
  | { readonly kind: 'answered'; readonly question: number; readonly answer: OriginAnswer };

const isText = (value: unknown): value is string => typeof value === 'string';

const isNumber = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value);

/** Encodes a message about the origin of a stream. */
export const encodeOriginMessage = (message: OriginMessage): Buffer => {
  const listFields = (): unknown[] => {
    if (message.kind === 'versions') return [message.revision, message.value];
    if (message.kind === 'told' || message.kind === 'record') {
      const { service, softwareVersion } = message.origin;
      return [message.request, service, softwareVersion, message.lifeMs];
    }
    if (message.kind === 'asked') return [message.question, message.request, message.service];
    const { answer } = message;
    const isKnown = answer.kind === 'begun' || answer.kind === 'only';
    const known = isKnown ? [answer.service, answer.softwareVersion] : [];
    return [message.question, answer.kind, ...known];
  };
  return Buffer.from(JSON.stringify([originTag, message.kind, ...listFields()]));
};

const decodeAnswer = (fields: readonly unknown[]): OriginAnswer | undefined => {
  const [kind, service, softwareVersion] = fields;
  if (kind === 'several' || kind === 'unknown') return { kind };
  if (kind !== 'begun' && kind !== 'only') return undefined;
  return isText(service) && isText(softwareVersion)
    ? { kind, service, softwareVersion }
    : undefined;
};

/**
 * Decodes the fields of a message about the origin of a stream; undefined if they are not valid.
 *
 * @example
 * decodeOriginMessage(['origin', 'asked', 1, 'r1', 'llm'])?.kind; // 'asked'
 */
export const decodeOriginMessage = (row: readonly unknown[]): OriginMessage | undefined => {
  const [, kind, ...fields] = row;
  if (kind === 'told' || kind === 'record') {
    const [request, service, softwareVersion, lifeMs] = fields;
    if (!isText(request) || !isText(service) || !isText(softwareVersion)) return undefined;
    if (!isNumber(lifeMs) || lifeMs < 0) return undefined;
    return { kind, request, origin: { service, softwareVersion }, lifeMs };
  }
  const [question, ...rest] = fields;
  if (!isNumber(question)) return undefined;
  if (kind === 'versions') {
    const [value] = rest;
    return isText(value) ? { kind, revision: question, value } : undefined;
  }
  if (kind === 'asked') {
    const [request, service] = rest;
    return isText(request) && isText(service) ? { kind, question, request, service } : undefined;
  }
  const answer = kind === 'answered' ? decodeAnswer(rest) : undefined;
  return answer && { kind: 'answered', question, answer };
};
