import type { BackendServer } from '@hemlocksill/types/routing.js';

/** Time for which a stream may go on, its callers' attempts included, in milliseconds. */
export const maxStreamLifeMs = 60_000;

/** Software versions of a service within the life of a stream. */
export type VersionState =
  | { readonly kind: 'only'; readonly softwareVersion: string }
  | { readonly kind: 'several' }
  /** One at present; this VM has not run for long enough to know of earlier ones. */
  | { readonly kind: 'unknown' };

/** A software version of a service, with the time at which its last server was gone; null while it is listed. */
export interface ServiceVersion {
  readonly service: string;
  readonly softwareVersion: string;
  readonly goneAt: number | null;
}

/** The software versions that the servers of each service have had lately. */
export interface VersionHistory {
  /** Records the listed servers, draining ones included. */
  readonly update: (servers: readonly BackendServer[], now: number) => void;
  /**
   * Adds versions that others have seen; those that they have seen listed count as listed until the next
   * `update`.
   *
   * @param since - time since which the versions are complete, or infinity
   */
  readonly adopt: (versions: readonly ServiceVersion[], since: number) => void;
  readonly getState: (service: string, now: number) => VersionState;
  /** Lists the versions that are listed or were within the life of a stream. */
  readonly list: (now: number) => ServiceVersion[];
  /** Returns the time since which the history is known. */
  readonly getKnownSince: () => number;
}

/**
 * Creates a history without versions.
 *
 * @param knownSince - time since which the history is known
 * @example
 * const history = makeVersionHistory(now);
 * history.update(servers, now);
 * history.getState('llm', now + 60_000); // { kind: 'only', softwareVersion: 'v1' }
 */
export const makeVersionHistory = (knownSince: number): VersionHistory => {
  let earliest = knownSince;
  let present = new Map<string, Set<string>>();
  /** Times at which versions were seen last that are gone, by service. */
  const goneAt = new Map<string, Map<string, number>>();

  const recordGone = (service: string, version: string, at: number): void => {
    const gone = goneAt.get(service) ?? new Map<string, number>();
    goneAt.set(service, gone.set(version, Math.max(at, gone.get(version) ?? at)));
  };

  return {
    update: (servers, now) => {
      const previous = present;
      present = new Map();
      servers.forEach(({ service, softwareVersion }) => {
        const versions = present.get(service) ?? new Set();
        present.set(service, versions.add(softwareVersion));
      });
      previous.forEach((versions, service) =>
        versions.forEach((version) => {
          if (!present.get(service)?.has(version)) recordGone(service, version, now);
        }),
      );
    },
    adopt: (versions, since) => {
      versions.forEach(({ service, softwareVersion, goneAt: at }) => {
        if (at !== null) recordGone(service, softwareVersion, at);
        else present.set(service, (present.get(service) ?? new Set()).add(softwareVersion));
      });
      earliest = Math.min(earliest, since);
    },
    getState: (service, now) => {
      const versions = new Set(present.get(service));
      const gone = goneAt.get(service);
      gone?.forEach((at, version) => {
        if (now - at < maxStreamLifeMs) versions.add(version);
        else gone.delete(version);
      });
      const [softwareVersion] = versions;
      if (versions.size > 1) return { kind: 'several' };
      if (softwareVersion === undefined || now - earliest < maxStreamLifeMs)
        return { kind: 'unknown' };
      return { kind: 'only', softwareVersion };
    },
    list: (now) => {
      const versions: ServiceVersion[] = [];
      present.forEach((listed, service) =>
        listed.forEach((softwareVersion) =>
          versions.push({ service, softwareVersion, goneAt: null }),
        ),
      );
      goneAt.forEach((gone, service) =>
        gone.forEach((at, softwareVersion) => {
          if (present.get(service)?.has(softwareVersion) || now - at >= maxStreamLifeMs) return;
          versions.push({ service, softwareVersion, goneAt: at });
        }),
      );
      return versions;
    },
    getKnownSince: () => earliest,
  };
};
