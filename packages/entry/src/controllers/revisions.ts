import { z } from 'zod';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import {
  adoptRevision,
  chooseOutageRevision,
  initialRevisionState,
  getProofDeadline,
  isNewer,
  recordOutage,
  recordPeerProof,
  recordProof,
  type RevisionState,
  type PeerView,
} from '@hemlocksill/revisions/revision-state.js';
import { parseHead, type Head } from '@hemlocksill/revisions/head.js';
import { computeDigest } from '@hemlocksill/revisions/parts.js';
import { assembleSnapshot } from '@hemlocksill/revisions/snapshot.js';
import type { StoreKeys } from '@hemlocksill/revisions/store-keys.js';
import type { Snapshot } from '@hemlocksill/types/config-document.js';
import type { Store } from '@hemlocksill/types/ports.js';
import { readClock, repeatUntilStopped } from '../clock.js';
import type { LogEvent } from '../events.js';
import type { Member } from '../member.js';
import type { ControlWatch } from './control-watch.js';

const pollPeriodMs = 3_000;
const fetchTimeoutMs = 3_000;

/** The configuration in force on this VM. */
export interface Revisions {
  readonly snapshot: () => Snapshot | undefined;
  /** Whether the configuration is proven current, so that requests with keys may proceed. */
  readonly isProven: () => boolean;
  /** Age of the proof in milliseconds; undefined without a proof. */
  readonly proofAgeMs: () => number | undefined;
  readonly revision: () => number;
  readonly onChange: (listener: (snapshot: Snapshot) => void) => void;
  /** Assembles the head for a peer, with the parts whose keys are not in `knownPartKeys`. */
  readonly readForPeer: (knownPartKeys: readonly string[]) => unknown;
  /** Applies the views of peers from one round of gossip. */
  readonly applyPeerViews: (
    views: readonly { member: Member; view: PeerView; sentAt: number }[],
    memberCount: number,
  ) => Promise<void>;
  /** Applies a head received from an operator, if it is newer. */
  readonly offerHead: (text: string) => Promise<void>;
  readonly start: (signal: AbortSignal) => Promise<void>;
}

/** Dependencies of the revisions controller. */
export interface RevisionsOptions {
  readonly store: Store;
  readonly keys: StoreKeys;
  readonly watch: ControlWatch;
  readonly peers: PeerClient;
  readonly logEvent: LogEvent;
}

const peerReplySchema = z.object({
  head: z.string(),
  parts: z.record(z.string(), z.string()),
});

/** Keeps the newest revision in force and tracks how long it is proven current. */
export const makeRevisions = (opts: RevisionsOptions): Revisions => {
  const { store, keys, watch, peers, logEvent } = opts;
  const listeners: ((snapshot: Snapshot) => void)[] = [];
  let revisionState: RevisionState = initialRevisionState;
  let head: Head | undefined;
  let headText = '';
  let partTexts = new Map<string, string>();
  let snapshot: Snapshot | undefined;
  let applyQueue: Promise<void> = Promise.resolve();

  const applyRevision = (newHead: Head, text: string, newPartTexts: Map<string, string>): void => {
    if (!isNewer(revisionState, newHead)) return;
    const parts = new Map(
      Object.entries(newHead.parts).map(([name, ref]) => [name, newPartTexts.get(ref.key) ?? '']),
    );
    const assembled = assembleSnapshot(newHead.revision, parts);
    if (assembled.isErr()) {
      logEvent(1202, { revision: newHead.revision, reason: assembled.error.message });
      return;
    }
    head = newHead;
    headText = text;
    partTexts = newPartTexts;
    snapshot = assembled.value;
    revisionState = adoptRevision(revisionState, newHead.revision);
    logEvent(1201, { revision: newHead.revision });
    listeners.forEach((listener) => listener(assembled.value));
  };

  const collectParts = async (
    newHead: Head,
    fetchPart: (key: string) => Promise<string | undefined>,
  ): Promise<Map<string, string> | undefined> => {
    const collected = new Map<string, string>();
    for (const ref of Object.values(newHead.parts)) {
      const text = partTexts.get(ref.key) ?? (await fetchPart(ref.key));
      if (text === undefined || computeDigest(text) !== ref.digest) return undefined;
      collected.set(ref.key, text);
    }
    return collected;
  };

  const fetchPartFromStore = async (key: string): Promise<string | undefined> => {
    const entry = await store.get(key);
    return entry.isOk() ? entry.value?.value : undefined;
  };

  const applyHead = async (
    text: string,
    fetchPart: (key: string) => Promise<string | undefined>,
  ): Promise<void> => {
    const parsed = parseHead(text);
    if (parsed.isErr()) {
      logEvent(1202, { reason: parsed.error });
      return;
    }
    if (!isNewer(revisionState, parsed.value)) return;
    const collected = await collectParts(parsed.value, fetchPart);
    if (collected) applyRevision(parsed.value, text, collected);
  };

  /** Applies a head after the heads queued before it. */
  const queueHead = (
    text: string,
    fetchPart: (key: string) => Promise<string | undefined> = fetchPartFromStore,
  ): Promise<void> => {
    applyQueue = applyQueue.then(() => applyHead(text, fetchPart));
    return applyQueue;
  };

  const fetchRevisionFromPeer = async (member: Member): Promise<void> => {
    const reply = await peers.call(
      member.peers,
      'revisions.read',
      { known: [...partTexts.keys()] },
      fetchTimeoutMs,
    );
    const parsed = reply.isOk() ? peerReplySchema.safeParse(reply.value.value) : undefined;
    if (!parsed?.success) return;
    const { head: text, parts } = parsed.data;
    await queueHead(text, async (key) => parts[key] ?? fetchPartFromStore(key));
    logEvent(1205, { from: member.vm, revision: revisionState.revision });
  };

  const poll = async (): Promise<void> => {
    const sentAt = readClock();
    const entry = await store.get(keys.head);
    if (entry.isErr() || !entry.value) return;
    watch.applyEntry(entry.value);
    await queueHead(entry.value.value);
    const parsed = parseHead(entry.value.value);
    if (parsed.isOk()) revisionState = recordProof(revisionState, parsed.value.revision, sentAt);
  };

  watch.subscribe(keys.head, (_key, entry) => {
    if (entry) void queueHead(entry.value);
  });

  return {
    snapshot: () => snapshot,
    isProven: () => readClock() < getProofDeadline(revisionState),
    proofAgeMs: () =>
      Number.isFinite(revisionState.provenAt) ? readClock() - revisionState.provenAt : undefined,
    revision: () => revisionState.revision,
    onChange: (listener) => {
      listeners.push(listener);
    },
    readForPeer: (knownPartKeys) => ({
      head: headText,
      parts: Object.fromEntries(
        Object.values(head?.parts ?? {})
          .filter((ref) => !knownPartKeys.includes(ref.key))
          .map((ref) => [ref.key, partTexts.get(ref.key) ?? '']),
      ),
    }),
    applyPeerViews: async (views, memberCount) => {
      const newest = views.reduce<(typeof views)[number] | undefined>(
        (latest, v) => (latest && latest.view.revision >= v.view.revision ? latest : v),
        undefined,
      );
      const allViews = views.map((v) => v.view);
      const canAdopt =
        revisionState.revision > 0 ||
        (chooseOutageRevision(allViews, memberCount) ?? 0) > 0 ||
        views.some((v) => v.view.storeReachable);
      if (newest && canAdopt && newest.view.revision > revisionState.revision)
        await fetchRevisionFromPeer(newest.member);
      views.forEach(({ view, sentAt }) => {
        revisionState = recordPeerProof(revisionState, view, sentAt);
      });
      const earliestSentAt = Math.min(readClock(), ...views.map((v) => v.sentAt));
      revisionState = recordOutage(revisionState, allViews, memberCount, earliestSentAt);
    },
    offerHead: (text) => queueHead(text),
    start: async (signal) => {
      await poll();
      void repeatUntilStopped(pollPeriodMs, signal, poll);
    },
  };
};
