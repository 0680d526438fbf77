/** The service and the version of its software at which a stream began. */
export interface StreamOrigin {
  readonly service: string;
  readonly softwareVersion: string;
}

/** Number of streams that are remembered at most; the oldest are forgotten first. */
const maxStreams = 100_000;

/** Streams that began lately, by the id of the request that brought their first event. */
export interface StreamOrigins {
  /** Remembers a stream for as long as its caller may take it up. */
  readonly record: (request: string, origin: StreamOrigin, expiresAt: number) => void;
  readonly find: (request: string, now: number) => StreamOrigin | undefined;
  readonly prune: (now: number) => void;
}

/**
 * Creates a record without streams. The version is kept with the stream and never looked up by the id
 * of its engine, which may come back with another one.
 *
 * @example
 * const origins = makeStreamOrigins();
 * origins.record('r1', { service: 'llm', softwareVersion: 'v1' }, now + 14_000);
 * origins.find('r1', now)?.softwareVersion; // 'v1'
 */
export const makeStreamOrigins = (): StreamOrigins => {
  const streams = new Map<string, { readonly origin: StreamOrigin; readonly expiresAt: number }>();
  return {
    record: (request, origin, expiresAt) => {
      if (streams.has(request)) return;
      streams.set(request, { origin, expiresAt });
      const [oldest] = streams.keys();
      if (streams.size > maxStreams && oldest !== undefined) streams.delete(oldest);
    },
    find: (request, now) => {
      const stream = streams.get(request);
      return stream && stream.expiresAt > now ? stream.origin : undefined;
    },
    prune: (now) =>
      streams.forEach(({ expiresAt }, request) => {
        if (expiresAt <= now) streams.delete(request);
      }),
  };
};
