/**
 * Time without a message after which a peer's announcement no longer counts. Until then it counts
 * also if the peer has left, since an engine goes on with an order that it has accepted.
 */
const announcementTimeoutMs = 9_000;

interface Announcement {
  readonly engines: readonly string[];
  readonly receivedAt: number;
}

/** Engines of which other VMs announced that they change their stage. */
export interface ChangingEngines {
  readonly recordPeer: (incarnation: string, engines: readonly string[], now: number) => void;
  readonly list: (now: number) => ReadonlySet<string>;
}

const noEngines: ReadonlySet<string> = new Set();

/**
 * Creates a record without announcements.
 *
 * @example
 * makeChangingEngines().list(now).size; // 0
 */
export const makeChangingEngines = (): ChangingEngines => {
  const announcements = new Map<string, Announcement>();
  return {
    recordPeer: (incarnation, engines, now) => {
      if (engines.length > 0) announcements.set(incarnation, { engines, receivedAt: now });
      else announcements.delete(incarnation);
    },
    list: (now) => {
      if (announcements.size === 0) return noEngines;
      announcements.forEach(({ receivedAt }, incarnation) => {
        if (now - receivedAt >= announcementTimeoutMs) announcements.delete(incarnation);
      });
      return new Set([...announcements.values()].flatMap(({ engines }) => engines));
    },
  };
};
