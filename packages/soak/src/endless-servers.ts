import {
  startEndlessProcess,
  type EndlessBehaviour,
  type EndlessProcess,
  type RawCall,
} from '@hemlocksill/platform/fakes/endless-process.js';
import type { RunRecord } from './records.js';

/** Processes of faulty servers, and servers in each. */
const processCount = 2;
const serversPerProcess = 5;

/** A faulty server that a fault uses. */
export interface EndlessServer {
  /** Id for an entry of its own, another one for each fault. */
  readonly id: string;
  readonly port: number;
  readonly behave: (behaviour: EndlessBehaviour) => void;
}

/** Faulty servers in processes of their own. */
export interface EndlessServerPool {
  /** Takes a server; undefined if all are in use. */
  readonly take: () => EndlessServer | undefined;
  readonly giveBack: (server: EndlessServer) => void;
  readonly call: (call: RawCall) => void;
  /** Requests that got an answer without an end. */
  readonly listRuns: () => Promise<readonly RunRecord[]>;
  readonly close: () => Promise<void>;
}

const listServers = ({ ports, behave }: EndlessProcess): Omit<EndlessServer, 'id'>[] =>
  ports.map((port, n) => ({ port, behave: (behaviour) => behave(n, behaviour) }));

/**
 * Starts faulty servers.
 *
 * @param startedAt - start of the soak on the clock of performance.now()
 * @example
 * const pool = await startEndlessServers(performance.now());
 */
export const startEndlessServers = async (startedAt: number): Promise<EndlessServerPool> => {
  const processes = await Promise.all(
    Array.from({ length: processCount }, () => startEndlessProcess(serversPerProcess)),
  );
  // Those of one process share a processor.
  const free = Array.from({ length: serversPerProcess }, (_, n) =>
    processes.map((process) => listServers(process)[n]),
  )
    .flat()
    .flatMap((server) => (server === undefined ? [] : [server]));
  const originMs = performance.timeOrigin + startedAt;
  let calls = 0;
  let taken = 0;
  return {
    take: () => {
      const server = free.shift();
      if (server === undefined) return undefined;
      taken += 1;
      return { ...server, id: `endless-${taken}` };
    },
    giveBack: (server) => {
      free.push(server);
    },
    call: (call) => {
      calls += 1;
      processes[calls % processes.length]?.call(call);
    },
    listRuns: async () => {
      const lists = await Promise.all(processes.map(({ listRequests }) => listRequests()));
      return lists.flatMap((requests, process) =>
        requests.map(({ id, server, form, isRun, workspace, hasKey, arrivedAt, endedAt }) => ({
          id,
          server: `faulty server ${process + 1}-${server + 1} (${form})`,
          isPrefill: !isRun,
          endlessForm: form,
          workspace,
          hasKey,
          arrivedAt: arrivedAt - originMs,
          endedAt: endedAt === undefined ? undefined : endedAt - originMs,
        })),
      );
    },
    close: async () => {
      await Promise.all(processes.map(({ close }) => close()));
    },
  };
};
