/** Time within which connections to several servers have to fail for the failures to be this VM's own. */
const failureWindowMs = 3_000;

/** Number of servers that have to fail, if there are as many. */
const minFailedServers = 2;

/** What this VM knows of its own links to the backend servers. */
export interface ServerReach {
  /** Records that a connection to a server was opened; returns whether the VM was partitioned. */
  readonly recordConnected: () => boolean;
  /** Records that no connection to a server could be opened; returns whether the VM is partitioned from now on. */
  readonly recordFailed: (server: string, listedServers: number, now: number) => boolean;
  /** Whether the VM has lost its links to the servers. */
  readonly isPartitioned: () => boolean;
  /** Servers whose failures were taken for the VM's own. */
  readonly listFailed: () => readonly string[];
}

/**
 * Makes the knowledge of a VM that reaches all servers. A server that can't be reached may be gone; several in a row,
 * with no connection opened in between, mean that the VM has lost its links.
 *
 * @example
 * const reach = makeServerReach();
 * reach.recordFailed('i-1', 4, now);
 * reach.recordFailed('i-2', 4, now); // true
 */
export const makeServerReach = (): ServerReach => {
  const failedAt = new Map<string, number>();
  let isPartitioned = false;
  return {
    recordConnected: () => {
      const wasPartitioned = isPartitioned;
      failedAt.clear();
      isPartitioned = false;
      return wasPartitioned;
    },
    recordFailed: (server, listedServers, now) => {
      failedAt.set(server, now);
      failedAt.forEach((at, id) => {
        if (now - at > failureWindowMs) failedAt.delete(id);
      });
      if (isPartitioned || failedAt.size < Math.min(minFailedServers, listedServers)) return false;
      isPartitioned = true;
      return true;
    },
    isPartitioned: () => isPartitioned,
    listFailed: () => [...failedAt.keys()],
  };
};
