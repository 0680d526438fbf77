/** Ids of prompt parts contain no colon. */
const requestPrefix = 'request:';

/**
 * The whole request as one part of it, beside the parts of its prompt.
 *
 * @example
 * makeRequestPart('1f0a6c25d3b9e847'); // 'request:1f0a6c25d3b9e847'
 */
export const makeRequestPart = (fingerprint: string): string => requestPrefix + fingerprint;

/** Returns the fingerprint of a part that is a whole request. */
export const getRequestOfPart = (part: string): string | undefined =>
  part.startsWith(requestPrefix) ? part.slice(requestPrefix.length) : undefined;

/** Whether a part is a whole request. */
export const isRequestPart = (part: string): boolean => part.startsWith(requestPrefix);
