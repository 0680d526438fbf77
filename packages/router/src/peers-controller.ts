import { createSocket } from 'node:dgram';
import { err, ok, type Result } from 'neverthrow';
import type { Endpoint } from '@hemlocksill/config/settings.js';
import type { Store } from '@hemlocksill/types/ports.js';
import {
  chooseReach,
  joinReach,
  type ChangeReach,
  type FleetChange,
} from '@hemlocksill/routing/choose-reach.js';
import { shouldWatch } from '@hemlocksill/routing/choose-watchers.js';
import type { AdmittedTotals, QuotaLevels } from '@hemlocksill/routing/fleet-quota.js';
import {
  decodeGossip,
  encodeGossip,
  encodeUpdate,
  type GossipMessage,
  type LoadUpdate,
  type ServerNews,
} from './gossip-message.js';
import type { LogRouterEvent } from './events.js';
import { pause } from './pause.js';
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

/** Changes of backend servers that fit into one message. */
const mostNews = 3;

/** Period of the review of who is silent and who follows the store. */
const reviewMs = 200;

/** Time for which changes are gathered into one message. */
const gatherMs = 5;

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

/** Time for which a VM's entry in the store lasts, the longest that the store grants. */
const entryTtlMs = 600_000;

const entryRetryMs = 1_000;

const addressPattern = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

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
  let sequence = 0;
  let wholeAt = Number.NEGATIVE_INFINITY;
  let watching = true;
  /** Whether the next message must be whole, for all VMs. */
  let greet = true;
  /** Addresses of VMs that do not know this one yet. */
  const strangers = new Set<string>();
  /** Who hears the next message, unless it is whole. */
  let reach: ChangeReach = new Set();
  /** Totals and newest revision of a backend server, as all VMs were last told. */
  let told: AdmittedTotals = {};
  let toldServers = 0;
  let gather: NodeJS.Timeout | undefined;
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

  const periodMs = (): number =>
    watching ? heartbeatMs : Math.max(heartbeatMs, (peers.size + 1) * heartbeatPerVmMs);

  /** Selects the totals that changed since all VMs were told. */
  const selectChanged = (admitted: AdmittedTotals): AdmittedTotals =>
    Object.fromEntries(Object.entries(admitted).filter(([name, total]) => told[name] !== total));

  const post = (bytes: Buffer, address: string): void => {
    const [host = '', port] = address.split(':');
    // A lost message is replaced by the next one.
    socket.send(bytes, Number(port), host, () => {});
  };

  /** Changes that this VM has learnt since it told all others, where they are small. */
  const selectNews = (): ServerNews | undefined => {
    if (!watching || toldServers === 0 || view.seen().servers <= toldServers) return undefined;
    const { servers, removed } = view.rawSince({
      config: Number.MAX_SAFE_INTEGER,
      servers: toldServers,
    });
    if (servers.length + removed.length > mostNews) return undefined;
    return { after: toldServers, servers, removed };
  };

  /** Takes news of a peer where nothing before them is missing; else they are fetched. */
  const takeNews = (news: ServerNews): void => {
    if (view.seen().servers < news.after) return;
    view.merge({ config: undefined, servers: news.servers, removed: news.removed });
  };

  const send = (isLeaving = false): void => {
    gather = undefined;
    if (stopped) return;
    const now = deps.now();
    const isWhole = isLeaving || now - wholeAt >= periodMs() || greet;
    if (isWhole) wholeAt = now;
    greet = false;
    sequence += 1;
    const described = deps.describe();
    const update: LoadUpdate = {
      incarnation: deps.incarnation,
      sequence,
      seen: view.seen(),
      ...described,
      admitted: selectChanged(described.admitted),
      isLeaving,
      role: watching ? 'watcher' : 'reader',
      isStoreReachable: view.isStoreReachable(),
      news: selectNews(),
    };
    const whole =
      isWhole || strangers.size > 0
        ? encodeGossip({
            ...update,
            admitted: described.admitted,
            vm: deps.vm,
            address: own,
            dataCentre: deps.dataCentre,
            ageMs: Math.round(now - startedAt),
            levels: deps.describeLevels(now),
          })
        : undefined;
    if (whole && isWhole) targets().forEach((address) => post(whole, address));
    else {
      if (whole) strangers.forEach((address) => post(whole, address));
      const bytes = encodeUpdate(update);
      (reach === 'fleet' ? targets() : targetsIn(reach)).forEach((address) => {
        if (!strangers.has(address)) post(bytes, address);
      });
    }
    if (isWhole || reach === 'fleet') {
      told = { ...described.admitted };
      toldServers = update.seen.servers;
    }
    reach = new Set();
    strangers.clear();
  };

  const sendSoon = (): void => {
    if (gather || stopped) return;
    gather = setTimeout(() => send(), gatherMs);
  };

  const noteChange = (change: FleetChange): void => {
    reach = joinReach(reach, chooseReach(change, deps.dataCentre, peers.size + 1));
    sendSoon();
  };

  const greetAll = (): void => {
    greet = true;
    noteChange({ kind: 'whole' });
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
    strangers.add(message.address);
    sendSoon();
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

  const silentMs = (peer: Peer): number => {
    const slow = Math.max(heartbeatMs, (peers.size + 1) * heartbeatPerVmMs);
    return (peer.last.role === 'watcher' ? heartbeatMs : slow) * missedHeartbeats;
  };

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
    greetAll();
  };

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
    return written.andThen((answer) =>
      answer.kind === 'written' ? ok(undefined) : err('conflict'),
    );
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
        greetAll();
      }
      if (entered.isOk() && listed.isOk()) return;
      await pause(entryRetryMs);
    }
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
        greetAll();
        void enter();
      });
    },
    stop: async () => {
      if (gather) clearTimeout(gather);
      send(true);
      stopped = true;
      await pause(1);
      socket.close();
    },
    noteChange,
    tick: (now) => {
      if (now >= reviewAt) {
        reviewAt = now + reviewMs;
        watchSilence(now);
        chooseRole(now);
        catchUp(now);
      }
      if (now - wholeAt >= periodMs()) noteChange({ kind: 'whole' });
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
