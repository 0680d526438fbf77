/** Events that a stream may have for each token that it may make, and beyond them. */
const eventsPerToken = 2;
const extraEvents = 1_024;

/** Bytes of comments and empty lines between two events; heartbeats take a few bytes each. */
const maxSilentBytes = 256 * 1_024;

/** What no sound engine sends. */
export type StreamExcess = 'too-many-events' | 'no-event';

/** What a batch of events adds to a stream. */
export interface AddedEvents {
  /** Number of its events with a field. */
  readonly events: number;
  /** Number of bytes behind the last one of them. */
  readonly silentBytes: number;
}

/** Bounds what engines send for one stream. */
export interface StreamBounds {
  /** Starts a run; the returned function adds events of it and returns how they are more than allowed, if they are. */
  readonly startRun: () => (added: AddedEvents) => StreamExcess | undefined;
}

/**
 * Makes the bounds of a stream, over all its runs. An event holds one token or several, so that a stream has no
 * more events with tokens than tokens.
 *
 * @param maxOutputTokens - 0 if the request doesn't state it; the number of events isn't bounded then
 * @example
 * makeStreamBounds(80).startRun()({ events: 2_000, silentBytes: 0 }); // 'too-many-events'
 */
export const makeStreamBounds = (maxOutputTokens: number): StreamBounds => {
  const maxEvents =
    maxOutputTokens > 0 ? eventsPerToken * maxOutputTokens + extraEvents : Number.POSITIVE_INFINITY;
  let allEvents = 0;
  return {
    startRun: () => {
      let allSilentBytes = 0;
      return ({ events, silentBytes }) => {
        allEvents += events;
        allSilentBytes = events > 0 ? silentBytes : allSilentBytes + silentBytes;
        if (allEvents > maxEvents) return 'too-many-events';
        return allSilentBytes > maxSilentBytes ? 'no-event' : undefined;
      };
    },
  };
};
