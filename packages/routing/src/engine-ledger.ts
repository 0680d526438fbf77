import type { EngineRates } from './engine-rates.js';

/** Load of one engine. */
export interface EngineLoad {
  /** Memory tokens that running and reserved requests use at present. */
  readonly tokens: number;
  /** Requests that run or have a reservation. */
  readonly requests: number;
  /** Prompt tokens that were sent to the engine and are not processed yet. */
  readonly prefillTokens: number;
}

/** Load of one VM by backend server id: memory tokens, requests and prefill tokens. */
export type LoadRows = Readonly<Record<string, readonly [number, number, number]>>;

/** Load of a peer at one engine, as last received. */
interface PeerRow {
  readonly row: readonly [number, number, number];
  readonly receivedAt: number;
}

/** Time without a message after which the load of a peer no longer counts. */
const peerTimeoutMs = 12_000;

/** Time for which an engine counts as full after it rejected a request. */
const fullCooldownMs = 60;

/** Memory counted for one request at an engine. */
export interface MemoryAllocation {
  /** Adds the output tokens that the request has generated. */
  readonly grow: (tokens: number) => void;
  /** Releases all memory of the request; further calls do nothing. */
  readonly release: () => void;
}

/** Tracks the load of all VMs at each engine, as far as this VM knows it. */
export interface EngineLedger {
  readonly addDecode: (server: string, tokens: number) => MemoryAllocation;
  readonly addPrefill: (server: string, tokens: number) => void;
  readonly removePrefill: (server: string, tokens: number) => void;
  readonly recordFull: (server: string, now: number) => void;
  readonly isFull: (server: string, now: number) => boolean;
  readonly recordPeerLoad: (incarnation: string, rows: LoadRows, now: number) => void;
  readonly removePeer: (incarnation: string) => void;
  /** Returns the load of all VMs at an engine; that of peers is extrapolated to `now`. */
  readonly getTotal: (server: string, now: number) => EngineLoad;
  /** Returns the number of requests of this VM alone at an engine. */
  readonly getLocalRequests: (server: string) => number;
  /** Returns the load of this VM alone. */
  readonly getLocalRows: () => LoadRows;
}

/**
 * Creates an empty ledger; `rates` extrapolate the load of peers.
 *
 * Load pattern: all VMs place long prompts at the same moment. The engines' load reports are
 * hundreds of milliseconds old; if placement relied on them, it would send all of these prompts to
 * the same engine.
 *
 * @example
 * const ledger = makeEngineLedger(makeEngineRates());
 * const allocation = ledger.addDecode('i-1', 3_300);
 * ledger.getTotal('i-1', now).tokens; // 3300
 * allocation.release();
 */
export const makeEngineLedger = (rates: EngineRates): EngineLedger => {
  const localRows = new Map<string, [number, number, number]>();
  /** Ids of the engines at which each peer has load. */
  const enginesByPeer = new Map<string, readonly string[]>();
  /** Load of each peer, by engine and peer. */
  const peerRowsByEngine = new Map<string, Map<string, PeerRow>>();
  const fullUntil = new Map<string, number>();
  const addLoad = (
    server: string,
    tokens: number,
    requests: number,
    prefillTokens: number,
  ): void => {
    const row = localRows.get(server) ?? [0, 0, 0];
    row[0] += tokens;
    row[1] += requests;
    row[2] += prefillTokens;
    if (row[0] === 0 && row[1] === 0 && row[2] === 0) localRows.delete(server);
    else localRows.set(server, row);
  };
  const removePeer = (incarnation: string): void => {
    enginesByPeer.get(incarnation)?.forEach((server) => {
      const rowsAtServer = peerRowsByEngine.get(server);
      rowsAtServer?.delete(incarnation);
      if (rowsAtServer?.size === 0) peerRowsByEngine.delete(server);
    });
    enginesByPeer.delete(incarnation);
  };

  return {
    addDecode: (server, tokens) => {
      let allocatedTokens = tokens;
      let isAllocated = true;
      addLoad(server, tokens, 1, 0);
      return {
        grow: (outputTokens) => {
          if (!isAllocated) return;
          allocatedTokens += outputTokens;
          addLoad(server, outputTokens, 0, 0);
        },
        release: () => {
          if (!isAllocated) return;
          isAllocated = false;
          addLoad(server, -allocatedTokens, -1, 0);
        },
      };
    },
    addPrefill: (server, tokens) => addLoad(server, 0, 0, tokens),
    removePrefill: (server, tokens) => addLoad(server, 0, 0, -tokens),
    recordFull: (server, now) => {
      fullUntil.set(server, now + fullCooldownMs);
    },
    isFull: (server, now) => (fullUntil.get(server) ?? 0) > now,
    recordPeerLoad: (incarnation, rows, now) => {
      removePeer(incarnation);
      enginesByPeer.set(incarnation, Object.keys(rows));
      Object.entries(rows).forEach(([server, row]) => {
        const rowsAtServer = peerRowsByEngine.get(server) ?? new Map<string, PeerRow>();
        peerRowsByEngine.set(server, rowsAtServer);
        rowsAtServer.set(incarnation, { row, receivedAt: now });
      });
    },
    removePeer,
    getTotal: (server, now) => {
      const row = localRows.get(server);
      const outputTokensPerS = rates.getOutputTokensPerS();
      const prefillTokensPerMs = rates.getPrefillTokensPerMs();
      let tokens = row?.[0] ?? 0;
      let requests = row?.[1] ?? 0;
      let prefillTokens = row?.[2] ?? 0;
      peerRowsByEngine.get(server)?.forEach(({ row: peerRow, receivedAt }) => {
        if (now - receivedAt > peerTimeoutMs) return;
        const elapsedS = (now - receivedAt) / 1_000;
        tokens += peerRow[0] + peerRow[1] * elapsedS * outputTokensPerS;
        requests += peerRow[1];
        // Peers do not announce the end of a prefill; assume the measured throughput since then.
        const processedTokens = (now - receivedAt) * prefillTokensPerMs;
        prefillTokens += Math.max(0, peerRow[2] - processedTokens);
      });
      return { tokens, requests, prefillTokens };
    },
    getLocalRequests: (server) => localRows.get(server)?.[1] ?? 0,
    getLocalRows: () => Object.fromEntries([...localRows].map(([id, row]) => [id, [...row]])),
  };
};
