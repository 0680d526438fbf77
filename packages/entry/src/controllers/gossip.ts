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

const periodMs = 1_000;
const timeoutMs = 700;

/** Peers asked in one round. */
const fanOut = 3;

/** How long an answer counts as what its peer knows. */
const viewHoldsMs = 6_000;

const viewSchema = z.object({
  revision: z.number(),
  proofAgeMs: z.number().optional(),
  storeReachable: z.boolean(),
  members: z.array(memberSchema).optional(),
  entries: z
    .array(z.object({ key: z.string(), value: z.string(), revision: z.number() }))
    .optional(),
});

/** The exchange of revisions and proofs with peers. */
export interface Gossip {
  readonly methods: Readonly<Record<string, PeerMethod>>;
  readonly start: (signal: AbortSignal) => void;
}

/** What gossip needs. */
export interface GossipOptions {
  readonly membership: Membership;
  readonly revisions: Revisions;
  readonly peers: PeerClient;
  readonly watch: ControlWatch;
  /** Prefix of members' entries, which are passed on in their own form. */
  readonly membersPrefix: string;
  /** Peers to ask while no member is known. */
  readonly seeds: readonly { readonly host: string; readonly port: number }[];
  readonly random: Random;
}

const pickSome = <T>(items: readonly T[], count: number, random: Random): T[] => {
  const pool = [...items];
  const picked: T[] = [];
  while (picked.length < count && pool.length > 0)
    picked.push(...pool.splice(Math.floor(random() * pool.length), 1));
  return picked;
};

/** Exchanges revisions and proofs, so that one VM that sees the store serves all. */
export const makeGossip = (opts: GossipOptions): Gossip => {
  const { membership, revisions, peers, watch, random } = opts;
  const views = new Map<string, { member: Member; view: PeerView; sentAt: number }>();

  const describeSelf = () => ({
    revision: revisions.revision(),
    proofAgeMs: revisions.proofAgeMs(),
    storeReachable: membership.storeReachable(),
  });

  const ask = async (member: Member): Promise<void> => {
    const sentAt = readClock();
    const question = { ...describeSelf(), wantsMembers: membership.others().length === 0 };
    const answer = await peers.call(member.peers, 'gossip.sync', question, timeoutMs);
    const parsed = answer.isOk() ? viewSchema.safeParse(answer.value.value) : undefined;
    if (answer.isErr() || !parsed?.success) {
      membership.suspect(member.incarnation);
      return;
    }
    if (parsed.data.members) membership.learnMembers(parsed.data.members);
    parsed.data.entries?.forEach(watch.learn);
    const { revision, proofAgeMs, storeReachable } = parsed.data;
    views.set(answer.value.from.incarnation, {
      member,
      view: { revision, proofAgeMs, storeReachable },
      sentAt,
    });
  };

  /** Stands in for the members that a VM cannot read while the store is out. */
  const getSeedMembers = (): Member[] =>
    opts.seeds.map((peer) => ({
      ...membership.self(),
      vm: `seed ${peer.host}:${peer.port}`,
      incarnation: `seed-${peer.host}:${peer.port}`,
      peers: peer,
    }));

  const round = async (): Promise<void> => {
    const known = membership.others();
    const others = known.length > 0 ? known : getSeedMembers();
    await Promise.all(pickSome(others, fanOut, random).map(ask));
    const oldest = readClock() - viewHoldsMs;
    views.forEach(({ sentAt }, incarnation) => {
      if (sentAt < oldest) views.delete(incarnation);
    });
    await revisions.learnViews([...views.values()], others.length);
  };

  return {
    methods: {
      'gossip.sync': (params) => {
        const wants = z.object({ wantsMembers: z.literal(true) }).safeParse(params).success;
        if (!wants) return Promise.resolve(describeSelf());
        // A VM that has never reached the store learns the rest of the control entries too.
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
    start: (signal) => void repeatUntilStopped(periodMs, signal, round),
  };
};
