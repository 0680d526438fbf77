import { createSocket } from 'node:dgram';
import type { Endpoint } from '@hemlocksill/config/settings.js';
import type { Store } from '@hemlocksill/types/ports.js';
import type { FleetChange } from '@hemlocksill/routing/choose-recipients.js';
import { shouldWatch } from '@hemlocksill/routing/choose-watchers.js';
import type { QuotaLevels } from '@hemlocksill/routing/fleet-quota.js';
import { enterFleet } from './register-vm.js';
import {
  decodeGossip,
  type GossipMessage,
  type LoadUpdate,
  type ServerNews,
  type ViewRole,
} from './gossip-message.js';
import type { LogRouterEvent } from './events.js';
import { pause } from './sleep.js';
import { makePeerOutbox } from './peer-outbox.js';
import { fetchPeerView } from './peer-views.js';
import type { SeenRevisions, ViewController } from './view-controller.js';

/** Time between two whole messages of a VM that follows the store, or of a small fleet. */
const heartbeatMs = 500;

/** Time between two whole messages for each VM of a larger fleet. */
const heartbeatPerVmMs = 60;

/**
 * Time after the start before which this VM does not follow the store: by then it has heard
 * those that do.
 */
const settleMs = 400;

/** Period of the review of who is silent and who follows the store. */
const reviewMs = 200;

/** Heartbeats that may be missed before a peer counts as silent. */
const missedHeartbeats = 3;

/** Silence after which a VM that follows the store is no longer relied on. */
const watcherSilentMs = 1_100;

/** Silence after which a peer is no longer sent to. */
const forgottenMs = 60_000;

/** Lead of a peer's view after which it is fetched; the own watch is usually faster. */
const viewLagMs = 250;

/** Pause between two tries to fetch a view. */
const fetchPauseMs = 400;

interface Peer {
  readonly vm: string;
  incarnation: string;
  sequence: number;
  address: string;
  readonly dataCentre: string;
  heardAt: number;
  last: LoadUpdate;
  /** Whether its process ran before this one. */
  readonly isOlder: boolean;
  isSilent: boolean;
}

/** The other VMs, as this VM hears them. */
export interface PeersController {
  readonly start: () => void;
  readonly stop: () => Promise<void>;
  /** Tells those whom it concerns soon that something changed. */
  readonly noteChange: (change: FleetChange) => void;
  readonly tick: (now: number) => void;
  /** Whether this VM follows the store itself. */
  readonly isWatcher: () => boolean;
  /** VMs that are believed to run, this one included. */
  readonly countVms: () => number;
  /** Share of these that were heard lately, this one included. */
  readonly heardShare: () => number;
  readonly waitingTokens: (service: string) => number;
}

/** Ports of the controller. */
export interface PeersDeps {
  readonly vm: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly at: Endpoint;
  readonly seeds: readonly Endpoint[];
  readonly vmPrefix: string;
  readonly store: Store;
  readonly view: ViewController;
  readonly describe: () => Pick<LoadUpdate, 'loads' | 'admitted' | 'waiting'>;
  readonly describeLevels: (now: number) => QuotaLevels | undefined;
  readonly onLevels: (levels: QuotaLevels, now: number) => void;
  /** `isOlder` tells whether the peer ran before this VM. */
  readonly onHeard: (update: LoadUpdate, isOlder: boolean, now: number) => void;
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
  const startedAt = deps.now();
  const own = `${deps.at.host}:${deps.at.port}`;
  const peers = new Map<string, Peer>();
  const byIncarnation = new Map<string, Peer>();
  /** Addresses that may hold a VM that was not heard yet. */
  const candidates = new Set<string>();
  const socket = createSocket('udp4');
  let watching = true;
  let stopped = false;
  let lagSince: number | undefined;
  let reviewAt = Number.NEGATIVE_INFINITY;
  let fetchedAt = 0;

  const targets = (): Set<string> => {
    const all = new Set(candidates);
    peers.forEach((peer) => all.add(peer.address));
    all.delete(own);
    return all;
  };

  const targetsIn = (dataCentres: ReadonlySet<string>): string[] =>
    [...peers.values()]
      .filter((peer) => dataCentres.has(peer.dataCentre))
      .map((peer) => peer.address);

  const periodMs = (role: ViewRole): number =>
    role === 'watcher' ? heartbeatMs : Math.max(heartbeatMs, (peers.size + 1) * heartbeatPerVmMs);

  const ownRole = (): ViewRole => (watching ? 'watcher' : 'reader');

  const outbox = makePeerOutbox({
    vm: deps.vm,
    dataCentre: deps.dataCentre,
    incarnation: deps.incarnation,
    address: own,
    view,
    role: ownRole,
    periodMs: () => periodMs(ownRole()),
    countVms: () => peers.size + 1,
    targets,
    targetsIn,
    post: (bytes, address) => {
      const [host = '', port] = address.split(':');
      // A lost message is replaced by the next one.
      socket.send(bytes, Number(port), host, () => {});
    },
    describe: deps.describe,
    describeLevels: deps.describeLevels,
    now: deps.now,
  });

  /** Takes news of a peer where nothing before them is missing; else they are fetched. */
  const takeNews = (news: ServerNews): void => {
    if (view.seen().servers < news.after) return;
    view.merge({ config: undefined, servers: news.servers, removed: news.removed });
  };

  const forget = (peer: Peer): void => {
    peers.delete(peer.vm);
    byIncarnation.delete(peer.incarnation);
    deps.onGone(peer.incarnation);
  };

  const take = (peer: Peer, update: LoadUpdate): void => {
    if (peer.sequence >= update.sequence) return;
    const now = deps.now();
    if (peer.isSilent) log(2201, { peer: peer.vm, incarnation: peer.incarnation });
    peer.sequence = update.sequence;
    peer.heardAt = now;
    peer.last = update;
    peer.isSilent = false;
    if (update.isLeaving) {
      forget(peer);
      return;
    }
    deps.onHeard(update, peer.isOlder, now);
    if (update.news) takeNews(update.news);
    if (isAhead(peer, view.seen())) catchUp(now);
  };

  const hearWhole = (message: GossipMessage): void => {
    if (message.incarnation === deps.incarnation) return;
    if (message.levels) deps.onLevels(message.levels, deps.now());
    const known = peers.get(message.vm);
    if (known && known.incarnation !== message.incarnation) forget(known);
    candidates.delete(message.address);
    const current = peers.get(message.vm);
    if (current) {
      take(current, message);
      return;
    }
    const peer: Peer = {
      vm: message.vm,
      incarnation: message.incarnation,
      sequence: 0,
      address: message.address,
      dataCentre: message.dataCentre,
      heardAt: deps.now(),
      last: message,
      isOlder: message.ageMs > deps.now() - startedAt,
      isSilent: false,
    };
    log(2201, { peer: message.vm, incarnation: message.incarnation });
    peers.set(message.vm, peer);
    byIncarnation.set(message.incarnation, peer);
    take(peer, message);
    // A VM that is new here does not know this one either. Telling all others too would make
    // the messages of a fleet that starts grow with the cube of its size.
    outbox.greet(message.address);
  };

  const fetchFrom = async (address: string): Promise<void> => {
    fetchedAt = deps.now();
    const got = await fetchPeerView(address, view.seen());
    if (got.isErr()) {
      log(2110, { peer: address, reason: got.error });
      return;
    }
    log(2108, { peer: address, servers: got.value.servers.length });
    view.merge(got.value);
    // A peer that knew something may have the next change already; one that did not is left.
    if (got.value.config || got.value.servers.length > 0) fetchedAt = 0;
  };

  const isAhead = (peer: Peer, seen: SeenRevisions): boolean =>
    peer.last.seen.config > seen.config || peer.last.seen.servers > seen.servers;

  const pickOne = <T>(list: readonly T[]): T | undefined =>
    list[Math.floor(Math.random() * list.length)];

  /** Fetches a view that is ahead, or any view while this VM has none and no store. */
  const catchUp = (now: number): void => {
    if (now - fetchedAt < fetchPauseMs) return;
    const seen = view.seen();
    const ahead = pickOne(
      [...peers.values()].filter((peer) => !peer.isSilent && isAhead(peer, seen)),
    );
    if (ahead) {
      lagSince ??= now;
      // A VM that watches hears the same change itself at about the same time.
      if (!watching || now - lagSince > viewLagMs) void fetchFrom(ahead.address);
      return;
    }
    lagSince = undefined;
    if (view.isComplete() || view.isStoreReachable()) return;
    const pick = pickOne([...targets()]);
    if (pick !== undefined) void fetchFrom(pick);
  };

  const silentMs = (peer: Peer): number => periodMs(peer.last.role) * missedHeartbeats;

  const watchSilence = (now: number): void =>
    peers.forEach((peer) => {
      const silence = now - peer.heardAt;
      if (silence > forgottenMs) forget(peer);
      else if (silence > silentMs(peer) && !peer.isSilent) {
        peer.isSilent = true;
        log(2202, { peer: peer.vm, silenceMs: Math.round(silence) });
      }
    });

  const chooseRole = (now: number): void => {
    const others = [...peers.values()].map((peer) => ({
      incarnation: peer.incarnation,
      isStoreReachable: peer.last.isStoreReachable,
      isWatcher: peer.last.role === 'watcher',
      isFresh:
        now - peer.heardAt < (peer.last.role === 'watcher' ? watcherSilentMs : silentMs(peer)),
    }));
    const { incarnation } = deps;
    const next = shouldWatch({ incarnation, isStoreReachable: view.isStoreReachable() }, others);
    if (next === watching) return;
    watching = next;
    log(2204, {
      role: next ? 'watcher' : 'reader',
      heard: others.filter((vm) => vm.isFresh).length,
    });
    outbox.greetAll();
  };

  return {
    start: () => {
      deps.seeds.forEach((seed) => candidates.add(`${seed.host}:${seed.port}`));
      socket.on('message', (bytes, from) => {
        const gossip = decodeGossip(bytes);
        if (!gossip) log(2203, { from: from.address, bytes: bytes.length });
        else if (gossip.kind === 'whole') hearWhole(gossip.message);
        else {
          const peer = byIncarnation.get(gossip.update.incarnation);
          if (peer) take(peer, gossip.update);
        }
      });
      socket.on('error', (error) => log(2203, { reason: error.message }));
      socket.bind(deps.at.port, deps.at.host, () => {
        outbox.greetAll();
        void enterFleet({
          store: deps.store,
          key: deps.vmPrefix + deps.vm,
          vmPrefix: deps.vmPrefix,
          address: own,
          isStopped: () => stopped,
          onListed: (addresses) => {
            addresses.forEach((address) => candidates.add(address));
            outbox.greetAll();
          },
          log,
        });
      });
    },
    stop: async () => {
      stopped = true;
      outbox.sendLast();
      await pause(1);
      socket.close();
    },
    noteChange: outbox.noteChange,
    tick: (now) => {
      if (now >= reviewAt) {
        reviewAt = now + reviewMs;
        watchSilence(now);
        chooseRole(now);
        catchUp(now);
      }
      outbox.tick(now);
    },
    isWatcher: () => watching && deps.now() - startedAt > settleMs,
    countVms: () => peers.size + 1,
    heardShare: () => {
      const heard = [...peers.values()].filter((peer) => !peer.isSilent).length;
      return (heard + 1) / (peers.size + 1);
    },
    waitingTokens: (service) =>
      [...peers.values()].reduce(
        (sum, peer) => (peer.isSilent ? sum : sum + (peer.last.waiting[service] ?? 0)),
        0,
      ),
  };
};
