import type { BackendServer } from '@hemlocksill/types/routing.js';

/** Time for which a stream may go on, its callers' attempts included, in milliseconds. */
export const maxStreamLifeMs = 60_000;

/** Software versions of a service within the life of a stream. */
export type VersionState =
  | { readonly kind: 'only'; readonly softwareVersion: string }
  | { readonly kind: 'several' }
  /** One at present; this VM has not run for long enough to know of earlier ones. */
  | { readonly kind: 'unknown' };

/** The software versions that the servers of each service have had lately. */
export interface VersionHistory {
  /** Records the listed servers, draining ones included. */
  readonly update: (servers: readonly BackendServer[], now: number) => void;
  readonly getState: (service: string, now: number) => VersionState;
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
  let present = new Map<string, Set<string>>();
  /** Times at which versions were seen last that are gone, by service. */
  const goneAt = new Map<string, Map<string, number>>();
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
          if (present.get(service)?.has(version)) return;
          const gone = goneAt.get(service) ?? new Map<string, number>();
          goneAt.set(service, gone.set(version, now));
        }),
      );
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
      if (softwareVersion === undefined || now - knownSince < maxStreamLifeMs)
        return { kind: 'unknown' };
      return { kind: 'only', softwareVersion };
    },
  };
};
