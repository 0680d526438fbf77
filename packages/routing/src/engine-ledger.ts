/** Work at one engine. */
export interface EngineLoad {
  /** Tokens of memory that running and reserved requests hold by now. */
  readonly tokens: number;
  readonly requests: number;
  /** Prompt tokens that it has sent to be read and that are not read yet. */
  readonly prefillTokens: number;
}

/** What a VM has at the engines, by backend server. */
export type LoadRows = Readonly<Record<string, readonly [number, number, number]>>;

/** What a peer has at one engine, as it told last. */
interface PeerRow {
  readonly row: readonly [number, number, number];
  readonly heardAt: number;
}

/** Time after which the work of a peer that is not heard no longer counts. */
const peerSilentMs = 12_000;

/** Time for which an engine that refused work counts as full. */
const fullRestMs = 60;

/** Prompt tokens that an engine reads in a millisecond until its pace is known. */
export const assumedPrefillTokensPerMs = 30;

/** Output tokens a second of one stream until streams have been seen. */
export const assumedGrowthPerS = 400;

/** A request's memory at an engine. */
export interface MemoryAllocation {
  /** Counts output tokens that the request has generated. */
  readonly grow: (tokens: number) => void;
  /** Ends the count; further calls do nothing. */
  readonly release: () => void;
}

/** The work of all VMs at each engine, as far as this VM knows. */
export interface EngineLedger {
  readonly addDecode: (server: string, tokens: number) => MemoryAllocation;
  readonly addPrefill: (server: string, tokens: number) => void;
  readonly removePrefill: (server: string, tokens: number) => void;
  readonly recordFull: (server: string, now: number) => void;
  readonly isFull: (server: string, now: number) => boolean;
  readonly recordPeerLoad: (incarnation: string, rows: LoadRows, now: number) => void;
  readonly removePeer: (incarnation: string) => void;
  /** Work of all VMs at an engine; that of peers has grown since it was told. */
  readonly getTotal: (server: string, now: number) => EngineLoad;
  readonly getLocalRows: () => LoadRows;
}

/**
 * Makes an empty ledger.
 *
 * Load pattern: all VMs place long prompts at the same moment; engines' own reports are
 * hundreds of milliseconds old and would send all of them to the same engine.
 *
 * @example
 * const ledger = makeEngineLedger();
 * const held = ledger.addDecode('i-1', 3_300);
 * ledger.total('i-1', now).tokens; // 3300
 * held.release();
 */
export const makeEngineLedger = (): EngineLedger => {
  const own = new Map<string, [number, number, number]>();
  /** Engines at which each peer has work, and that work by engine and peer. */
  const enginesOf = new Map<string, readonly string[]>();
  const peerRows = new Map<string, Map<string, PeerRow>>();
  const fullUntil = new Map<string, number>();
  const add = (server: string, tokens: number, requests: number, prefill: number): void => {
    const row = own.get(server) ?? [0, 0, 0];
    row[0] += tokens;
    row[1] += requests;
    row[2] += prefill;
    if (row[0] === 0 && row[1] === 0 && row[2] === 0) own.delete(server);
    else own.set(server, row);
  };
  const dropPeer = (incarnation: string): void => {
    enginesOf.get(incarnation)?.forEach((server) => {
      const atServer = peerRows.get(server);
      atServer?.delete(incarnation);
      if (atServer?.size === 0) peerRows.delete(server);
    });
    enginesOf.delete(incarnation);
  };

  return {
    addDecode: (server, tokens) => {
      let held = tokens;
      let isHeld = true;
      add(server, tokens, 1, 0);
      return {
        grow: (more) => {
          if (!isHeld) return;
          held += more;
          add(server, more, 0, 0);
        },
        release: () => {
          if (!isHeld) return;
          isHeld = false;
          add(server, -held, -1, 0);
        },
      };
    },
    addPrefill: (server, tokens) => add(server, 0, 0, tokens),
    removePrefill: (server, tokens) => add(server, 0, 0, -tokens),
    recordFull: (server, now) => {
      fullUntil.set(server, now + fullRestMs);
    },
    isFull: (server, now) => (fullUntil.get(server) ?? 0) > now,
    recordPeerLoad: (incarnation, rows, now) => {
      dropPeer(incarnation);
      enginesOf.set(incarnation, Object.keys(rows));
      Object.entries(rows).forEach(([server, row]) => {
        const atServer = peerRows.get(server) ?? new Map<string, PeerRow>();
        peerRows.set(server, atServer);
        atServer.set(incarnation, { row, heardAt: now });
      });
    },
    removePeer: dropPeer,
    getTotal: (server, now) => {
      const row = own.get(server);
      let tokens = row?.[0] ?? 0;
      let requests = row?.[1] ?? 0;
      let prefillTokens = row?.[2] ?? 0;
      peerRows.get(server)?.forEach(({ row: theirs, heardAt }) => {
        if (now - heardAt > peerSilentMs) return;
        const grownS = (now - heardAt) / 1_000;
        tokens += theirs[0] + theirs[1] * grownS * assumedGrowthPerS;
        requests += theirs[1];
        // A peer does not tell when a prefill ends; it has been read at the usual pace since.
        const readSince = (now - heardAt) * assumedPrefillTokensPerMs;
        prefillTokens += Math.max(0, theirs[2] - readSince);
      });
      return { tokens, requests, prefillTokens };
    },
    getLocalRows: () => Object.fromEntries([...own].map(([id, row]) => [id, [...row]])),
  };
};
