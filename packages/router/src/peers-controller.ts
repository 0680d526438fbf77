import { createSocket } from 'node:dgram';
import { err, ok, type Result } from 'neverthrow';
import type { Endpoint } from '@hemlocksill/config/settings.js';
import type { Store } from '@hemlocksill/types/ports.js';
import { decodeGossip, encodeGossip, type GossipMessage } from './gossip-message.js';
import type { LogRouterEvent } from './events.js';
import { fetchPeerView } from './peer-views.js';
import type { ViewController } from './view-controller.js';

/** Time between two messages while nothing changes. */
const heartbeatMs = 500;

/** Time for which changes are gathered into one message. */
const gatherMs = 5;

/** Silence after which a peer's work and share no longer count. */
const silentMs = 2_000;

/** Silence after which a peer is no longer sent to. */
const forgottenMs = 60_000;

/** Lead of a peer's view after which it is fetched; the own watch is usually faster. */
const viewLagMs = 250;

/** Pause between two tries to fetch a view. */
const fetchPauseMs = 400;

/** Time for which a VM's entry in the store lasts, the longest that the store grants. */
const entryTtlMs = 600_000;

const entryRetryMs = 1_000;

const addressPattern = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

interface Peer {
  readonly vm: string;
  incarnation: string;
  sequence: number;
  address: string;
  heardAt: number;
  seen: GossipMessage['seen'];
  waiting: GossipMessage['waiting'];
  isSilent: boolean;
}

/** The other VMs, as this VM hears them. */
export interface PeersController {
  readonly start: () => void;
  readonly stop: () => Promise<void>;
  /** Tells the others soon that something changed. */
  readonly noteChange: () => void;
  readonly tick: (now: number) => void;
  /** VMs that are believed to run, this one included. */
  readonly countVms: () => number;
  /** Share of these that were heard lately, this one included. */
  readonly heardShare: () => number;
  readonly waitingTokens: (service: string) => number;
}

/** Ports of the controller. */
export interface PeersDeps {
  readonly vm: string;
  readonly incarnation: string;
  readonly at: Endpoint;
  readonly seeds: readonly Endpoint[];
  readonly vmPrefix: string;
  readonly store: Store;
  readonly view: ViewController;
  readonly describe: () => Pick<GossipMessage, 'loads' | 'admitted' | 'waiting' | 'isLeaving'>;
  readonly onHeard: (message: GossipMessage, now: number) => void;
  readonly onGone: (incarnation: string) => void;
  readonly log: LogRouterEvent;
  readonly now: () => number;
}

/**
 * Makes the controller that exchanges state with the other VMs.
 *
 * Each message holds the whole state of its sender, so that losses, doubles and late
 * messages do no harm. A VM is found through its entry in the store, a seed, or its message.
 *
 * @example
 * const peers = makePeersController(deps);
 * peers.start();
 */
export const makePeersController = (deps: PeersDeps): PeersController => {
  const { log, view } = deps;
  const own = `${deps.at.host}:${deps.at.port}`;
  const peers = new Map<string, Peer>();
  /** Addresses that may hold a VM that was not heard yet. */
  const candidates = new Set<string>();
  const socket = createSocket('udp4');
  let sequence = 0;
  let sentAt = 0;
  let gather: NodeJS.Timeout | undefined;
  let stopped = false;
  let lagSince: number | undefined;
  let fetchedAt = 0;

  const targets = (): Set<string> => {
    const all = new Set(candidates);
    peers.forEach((peer) => all.add(peer.address));
    all.delete(own);
    return all;
  };

  const send = (): void => {
    gather = undefined;
    if (stopped) return;
    sentAt = deps.now();
    sequence += 1;
    const bytes = encodeGossip({
      vm: deps.vm,
      incarnation: deps.incarnation,
      sequence,
      address: own,
      seen: view.seen(),
      ...deps.describe(),
    });
    targets().forEach((address) => {
      const [host = '', port] = address.split(':');
      // A lost message is replaced by the next one.
      socket.send(bytes, Number(port), host, () => {});
    });
  };

  const noteChange = (): void => {
    if (gather || stopped) return;
    gather = setTimeout(send, gatherMs);
  };

  const hear = (message: GossipMessage): void => {
    if (message.vm === deps.vm && message.incarnation === deps.incarnation) return;
    const now = deps.now();
    const known = peers.get(message.vm);
    const isSame = known?.incarnation === message.incarnation;
    if (known && isSame && known.sequence >= message.sequence) return;
    if (known && !isSame) deps.onGone(known.incarnation);
    if (!isSame || known?.isSilent) log(2201, { peer: message.vm, incarnation: message.incarnation });
    candidates.delete(message.address);
    peers.set(message.vm, {
      vm: message.vm,
      incarnation: message.incarnation,
      sequence: message.sequence,
      address: message.address,
      heardAt: now,
      seen: message.seen,
      waiting: message.waiting,
      isSilent: false,
    });
    if (message.isLeaving) {
      peers.delete(message.vm);
      deps.onGone(message.incarnation);
      return;
    }
    deps.onHeard(message, now);
    // A VM that is new here does not know this one either.
    if (!isSame) noteChange();
  };

  const fetchFrom = async (address: string): Promise<void> => {
    fetchedAt = deps.now();
    const got = await fetchPeerView(address);
    if (got.isErr()) {
      log(2110, { peer: address, reason: got.error });
      return;
    }
    log(2108, { peer: address, servers: got.value.servers.length });
    view.merge(got.value);
  };

  const isAhead = (peer: Peer): boolean => {
    const seen = view.seen();
    return peer.seen.config > seen.config || peer.seen.servers > seen.servers;
  };

  /** Fetches a view that is ahead, or any view while this VM has none and no store. */
  const catchUp = (now: number): void => {
    if (now - fetchedAt < fetchPauseMs) return;
    const heard = [...peers.values()].filter((peer) => !peer.isSilent);
    const ahead = heard.find(isAhead);
    if (ahead) {
      lagSince ??= now;
      if (now - lagSince > viewLagMs) void fetchFrom(ahead.address);
      return;
    }
    lagSince = undefined;
    if (view.isComplete() || view.isStoreReachable()) return;
    const all = [...targets()];
    const pick = all[Math.floor(Math.random() * all.length)];
    if (pick !== undefined) void fetchFrom(pick);
  };

  const watchSilence = (now: number): void =>
    peers.forEach((peer) => {
      const silence = now - peer.heardAt;
      if (silence > forgottenMs) {
        peers.delete(peer.vm);
        deps.onGone(peer.incarnation);
      } else if (silence > silentMs && !peer.isSilent) {
        peer.isSilent = true;
        log(2202, { peer: peer.vm, silenceMs: Math.round(silence) });
      }
    });

  const pause = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    });

  const key = deps.vmPrefix + deps.vm;

  /** Writes this VM's entry, over one of an earlier incarnation. */
  const writeEntry = async (): Promise<Result<unknown, string>> => {
    const present = await deps.store.get(key);
    if (present.isErr()) return err(present.error);
    if (present.value?.value === own) return ok(undefined);
    const lease = await deps.store.grantLease(entryTtlMs);
    if (lease.isErr()) return err(lease.error);
    const written = await deps.store.cas({
      key,
      expected: present.value?.revision ?? 0,
      value: own,
      leaseId: lease.value,
    });
    return written.andThen((answer) => (answer.kind === 'written' ? ok(undefined) : err('conflict')));
  };

  /**
   * Enters this VM in the store, then learns the others: of two that start together, the one
   * that lists later finds the other, and its message makes it known.
   */
  const enter = async (): Promise<void> => {
    while (!stopped) {
      const entered = await writeEntry();
      if (entered.isErr()) log(2109, { reason: entered.error });
      const listed = await deps.store.list(deps.vmPrefix);
      if (listed.isOk()) {
        listed.value.entries.forEach((entry) => {
          if (addressPattern.test(entry.value)) candidates.add(entry.value);
        });
        noteChange();
      }
      if (entered.isOk() && listed.isOk()) return;
      await pause(entryRetryMs);
    }
  };

  return {
    start: () => {
      deps.seeds.forEach((seed) => candidates.add(`${seed.host}:${seed.port}`));
      socket.on('message', (bytes, from) => {
        const message = decodeGossip(bytes);
        if (message) hear(message);
        else log(2203, { from: from.address, bytes: bytes.length });
      });
      socket.on('error', (error) => log(2203, { reason: error.message }));
      socket.bind(deps.at.port, deps.at.host, () => {
        noteChange();
        void enter();
      });
    },
    stop: async () => {
      if (gather) clearTimeout(gather);
      send();
      stopped = true;
      await pause(1);
      socket.close();
    },
    noteChange,
    tick: (now) => {
      watchSilence(now);
      catchUp(now);
      if (now - sentAt >= heartbeatMs) noteChange();
    },
    countVms: () => peers.size + 1,
    heardShare: () => {
      const heard = [...peers.values()].filter((peer) => !peer.isSilent).length;
      return (heard + 1) / (peers.size + 1);
    },
    waitingTokens: (service) =>
      [...peers.values()].reduce(
        (sum, peer) => (peer.isSilent ? sum : sum + (peer.waiting[service] ?? 0)),
        0,
      ),
  };
};
