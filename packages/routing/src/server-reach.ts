/** Time within which connections to several servers have to fail for the failures to be this VM's own. */
const failureWindowMs = 3_000;

/** Number of servers that have to fail, if there are as many. */
const minFailedServers = 2;

/** What this VM knows of its own links to the backend servers. */
export interface ServerReach {
  /** Records that a connection to a server was opened; returns whether the VM was partitioned. */
  readonly recordConnected: () => boolean;
  /** Records that no connection to a server could be opened; returns whether the VM's links are suspected from now on. */
  readonly recordFailed: (server: string, listedServers: number, now: number) => boolean;
  /** Takes the VM for partitioned if its links are still suspected, and returns whether they are. */
  readonly confirm: () => boolean;
  /** Whether the VM has lost its links to the servers. */
  readonly isPartitioned: () => boolean;
  /** Servers to which no connection could be opened. */
  readonly listFailed: () => readonly string[];
}

/**
 * Makes the knowledge of a VM that reaches all servers. A server that can't be reached may be gone. If several fail in
 * a row, with no connection opened in between, the VM's own links are suspected; they are lost if the caller then
 * reaches no other server either.
 *
 * @example
 * const reach = makeServerReach();
 * reach.recordFailed('i-1', 4, now);
 * if (reach.recordFailed('i-2', 4, now)) setTimeout(reach.confirm, 200);
 */
export const makeServerReach = (): ServerReach => {
  const failedAt = new Map<string, number>();
  let state: 'reached' | 'suspected' | 'partitioned' = 'reached';
  return {
    recordConnected: () => {
      const wasPartitioned = state === 'partitioned';
      failedAt.clear();
      state = 'reached';
      return wasPartitioned;
    },
    recordFailed: (server, listedServers, now) => {
      failedAt.set(server, now);
      failedAt.forEach((at, id) => {
        if (now - at > failureWindowMs) failedAt.delete(id);
      });
      if (state !== 'reached' || failedAt.size < Math.min(minFailedServers, listedServers))
        return false;
      state = 'suspected';
      return true;
    },
    confirm: () => {
      if (state !== 'suspected') return false;
      state = 'partitioned';
      return true;
    },
    isPartitioned: () => state === 'partitioned',
    listFailed: () => [...failedAt.keys()],
  };
};
