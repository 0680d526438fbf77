import { z } from 'zod';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import type { PeerMethod } from '@hemlocksill/peer/peer-server.js';
import type { PeerView } from '@hemlocksill/revisions/revision-state.js';
import type { Random } from '@hemlocksill/types/ports.js';
import { readClock, repeatUntilStopped } from '../clock.js';
import { memberSchema, type Member } from '../member.js';
import type { ControlWatch } from './control-watch.js';
import type { Membership } from './membership.js';
import type { Revisions } from './revisions.js';

const roundPeriodMs = 1_000;
const syncTimeoutMs = 700;

/** Number of peers queried in one round. */
const fanOut = 3;

/** Maximum age of a peer's reply that is still used. */
const maxViewAgeMs = 6_000;

const viewSchema = z.object({
  revision: z.number(),
  proofAgeMs: z.number().optional(),
  storeReachable: z.boolean(),
  members: z.array(memberSchema).optional(),
  entries: z
    .array(z.object({ key: z.string(), value: z.string(), revision: z.number() }))
    .optional(),
});

/** Exchanges configuration revisions, and proofs that they are current, with peers. */
export interface Gossip {
  readonly methods: Readonly<Record<string, PeerMethod>>;
  readonly start: (signal: AbortSignal) => void;
}

/** Dependencies of gossip. */
export interface GossipOptions {
  readonly membership: Membership;
  readonly revisions: Revisions;
  readonly peers: PeerClient;
  readonly watch: ControlWatch;
  /** Key prefix of member entries, which are sent separately as `members`. */
  readonly membersPrefix: string;
  /** Peers to query while no other member is known. */
  readonly seeds: readonly { readonly host: string; readonly port: number }[];
  readonly random: Random;
}

const sampleItems = <T>(items: readonly T[], count: number, random: Random): T[] => {
  const remainingItems = [...items];
  const sample: T[] = [];
  while (sample.length < count && remainingItems.length > 0)
    sample.push(...remainingItems.splice(Math.floor(random() * remainingItems.length), 1));
  return sample;
};

/** Creates the gossip between VMs; a VM that reaches the store keeps all others up to date. */
export const makeGossip = (opts: GossipOptions): Gossip => {
  const { membership, revisions, peers, watch, random } = opts;
  const views = new Map<string, { member: Member; view: PeerView; sentAt: number }>();

  const describeSelf = () => ({
    revision: revisions.revision(),
    proofAgeMs: revisions.proofAgeMs(),
    storeReachable: membership.isStoreReachable(),
  });

  const syncWithPeer = async (member: Member): Promise<void> => {
    const sentAt = readClock();
    const request = { ...describeSelf(), wantsMembers: membership.others().length === 0 };
    const reply = await peers.call(member.peers, 'gossip.sync', request, syncTimeoutMs);
    const parsed = reply.isOk() ? viewSchema.safeParse(reply.value.value) : undefined;
    if (reply.isErr() || !parsed?.success) {
      membership.markSuspect(member.incarnation);
      return;
    }
    if (parsed.data.members) membership.recordPeerMembers(parsed.data.members);
    parsed.data.entries?.forEach(watch.applyEntry);
    const { revision, proofAgeMs, storeReachable } = parsed.data;
    views.set(reply.value.from.incarnation, {
      member,
      view: { revision, proofAgeMs, storeReachable },
      sentAt,
    });
  };

  /** Makes member records for the seeds, which are queried while no other member is known. */
  const getSeedMembers = (): Member[] =>
    opts.seeds.map((peer) => ({
      ...membership.self(),
      vm: `seed ${peer.host}:${peer.port}`,
      incarnation: `seed-${peer.host}:${peer.port}`,
      peers: peer,
    }));

  const runRound = async (): Promise<void> => {
    const otherMembers = membership.others();
    const candidates = otherMembers.length > 0 ? otherMembers : getSeedMembers();
    await Promise.all(sampleItems(candidates, fanOut, random).map(syncWithPeer));
    const oldestSentAt = readClock() - maxViewAgeMs;
    views.forEach(({ sentAt }, incarnation) => {
      if (sentAt < oldestSentAt) views.delete(incarnation);
    });
    await revisions.applyPeerViews([...views.values()], candidates.length);
  };

  return {
    methods: {
      'gossip.sync': (params) => {
        const wantsMembers = z.object({ wantsMembers: z.literal(true) }).safeParse(params).success;
        if (!wantsMembers) return Promise.resolve(describeSelf());
        // A VM that has never reached the store also needs the other control entries.
        const entries = [...watch.entries.values()].filter(
          (e) => !e.key.startsWith(opts.membersPrefix),
        );
        return Promise.resolve({ ...describeSelf(), members: membership.members(), entries });
      },
      'revisions.read': (params) => {
        const parsed = z.object({ known: z.array(z.string()) }).safeParse(params);
        return Promise.resolve(revisions.readForPeer(parsed.success ? parsed.data.known : []));
      },
    },
    start: (signal) => void repeatUntilStopped(roundPeriodMs, signal, runRound),
  };
};
