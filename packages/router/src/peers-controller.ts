import { createSocket } from 'node:dgram';
import type { WaitingRows } from '@hemlocksill/routing/bound-streams.js';
import type { Endpoint } from '@hemlocksill/config/settings.js';
import type { Store } from '@hemlocksill/types/ports.js';
import type { FleetChange } from '@hemlocksill/routing/choose-recipients.js';
import { isFirstVm, shouldWatch } from '@hemlocksill/routing/choose-watchers.js';
import { getStoreEra } from '@hemlocksill/types/store-revision.js';
import type { QuotaLevels } from '@hemlocksill/routing/fleet-quota.js';
import type { EvacuationRow } from '@hemlocksill/routing/evacuations.js';
import type { LimitRow, Turn } from '@hemlocksill/routing/server-limits.js';
import type { PlainRow } from '@hemlocksill/routing/response-times.js';
import { registerVm } from './register-vm.js';
import {
  decodeMessage,
  type FullMessage,
  type LoadUpdate,
  type ServerChanges,
  type StoreRole,
} from './gossip-message.js';
import { makeEvacuationOutbox } from './evacuation-outbox.js';
import type { LogRouterEvent } from './events.js';
import { sleep } from './sleep.js';
import { makeLimitOutbox } from './limit-outbox.js';
import type { PeerAddress } from './origin-controller.js';
import type { RatePeer } from './rate-controller.js';
import type { RateMessage } from './rate-message.js';
import type { OriginMessage } from './origin-message.js';
import { makePeerOutbox } from './peer-outbox.js';
import type { RouterMetrics } from './router-metrics.js';
import type { ViewController } from './view-controller.js';
import { makeViewFetcher } from './view-fetcher.js';

/** Interval between messages of a watcher to all VMs, or of any VM in a small fleet. */
const heartbeatMs = 500;

/** Interval between full messages of a reader, for each VM of the fleet; at least `heartbeatMs`. */
const heartbeatPerVmMs = 60;

/**
 * Time after the start during which this VM does not watch the store, so that it first
 * receives messages of the VMs that do.
 */
const startupGraceMs = 400;

/** Time over which the VMs of a fleet spread their registration after a restore of the store. */
const registrationDelayMs = 2_000;

/** Time after its start during which a VM may not have heard of all others yet. */
const firstVmGraceMs = 2_000;

/** Interval between checks of unresponsive peers, of this VM's role and of missing changes. */
const checkPeriodMs = 200;

/** Missed heartbeats after which a peer counts as unresponsive. */
const maxMissedHeartbeats = 3;

/** Age after which a peer's waiting streams no longer count; they wait about as long. */
const maxWaitingAgeMs = 1_000;

/** Time without a message after which a watcher is not relied on for changes. */
const watcherTimeoutMs = 1_100;

/** Time for which others must reach the store before a reader assumes that it does, too. */
const assumeReachableMs = 5_000;

/** Time without a message after which a peer is removed; no more messages are sent to it. */
const peerExpiryMs = 60_000;

/** Time for which a VM that was removed without a word keeps its turns at cold servers. */
const lostVmExpiryMs = 3_600_000;

/** A peer and its latest state. */
interface Peer {
  readonly vm: string;
  incarnation: string;
  sequence: number;
  address: string;
  readonly dataCentre: string;
  lastReceivedAt: number;
  lastUpdate: LoadUpdate;
  /** Whether its process started before this one. */
  readonly isOlder: boolean;
  isUnresponsive: boolean;
}

/** Exchanges state with the other VMs and keeps the latest state of each. */
export interface PeersController {
  readonly start: () => void;
  readonly stop: () => Promise<void>;
  /** Schedules a message about a change to the VMs that it concerns. */
  readonly notifyChange: (change: FleetChange) => void;
  readonly listPeers: () => readonly PeerAddress[];
  readonly listResponsivePeers: () => readonly RatePeer[];
  /** Sends a datagram, which may be lost. */
  readonly sendDatagram: (bytes: Buffer, address: string) => void;
  /** Schedules a message to all VMs about the accounts of limited backend servers. */
  readonly notifyLimits: () => void;
  /** Tells all VMs which data centres are evacuated. */
  readonly notifyEvacuations: () => void;
  readonly hasVmIn: (dataCentre: string) => boolean;
  /** Place of this VM in the order of all, of which some may not have been heard yet. */
  readonly getTurn: () => Turn;
  readonly tick: (now: number) => void;
  /** Whether this VM watches the store itself. */
  readonly isWatcher: () => boolean;
  /** Whether this VM comes first among those that reach the store. */
  readonly isFirst: () => boolean;
  /** Number of VMs in the fleet as known here, including this one. */
  readonly countVms: () => number;
  /** Share of these VMs that are responsive, including this one. */
  readonly getReachableShare: () => number;
  /** Tokens that streams at other VMs wait for. */
  readonly countWaitingTokens: (service: string, now: number) => number;
  /** What waits at other VMs, as they reported it. */
  readonly listWaiting: (now: number) => readonly WaitingRows[];
}

/** Dependencies of the controller. */
export interface PeersDeps {
  readonly vm: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly endpoint: Endpoint;
  readonly seeds: readonly Endpoint[];
  readonly vmPrefix: string;
  readonly store: Store;
  readonly view: ViewController;
  readonly getLocalLoad: () => Pick<
    LoadUpdate,
    'loads' | 'admitted' | 'waiting' | 'changing' | 'failing' | 'crashes'
  >;
  readonly getQuotaLevels: (now: number) => QuotaLevels | undefined;
  readonly onQuotaLevels: (levels: QuotaLevels, now: number) => void;
  /** `isOlder` says whether the peer started before this VM. */
  readonly onUpdate: (update: LoadUpdate, isOlder: boolean, now: number) => void;
  readonly listLimitRows: (which: 'all' | 'changed', now: number) => LimitRow[];
  readonly onLimitRows: (
    incarnation: string,
    rows: readonly LimitRow[],
    uptimeMs: number,
    now: number,
  ) => void;
  readonly listEvacuationRows: () => EvacuationRow[];
  readonly onEvacuationRows: (rows: readonly EvacuationRow[]) => void;
  readonly onPlainRows: (rows: readonly PlainRow[], now: number) => void;
  readonly onOriginMessage: (message: OriginMessage, sender: string) => void;
  readonly onRateMessage: (message: RateMessage) => void;
  readonly onPeerRemoved: (incarnation: string) => void;
  readonly metrics: Pick<RouterMetrics, 'configBehindMs' | 'viewFetches'>;
  readonly log: LogRouterEvent;
  readonly now: () => number;
}

/**
 * Makes the controller that exchanges state with the other VMs.
 *
 * Each message carries the complete state of its sender, so that lost, duplicate and late
 * messages cause no error. A VM is discovered through its entry in the store, a seed or its
 * first message.
 *
 * @example
 * const peers = makePeersController(deps);
 * peers.start();
 */
export const makePeersController = (deps: PeersDeps): PeersController => {
  const { log, view } = deps;
  const startedAt = deps.now();
  const localAddress = `${deps.endpoint.host}:${deps.endpoint.port}`;
  const peers = new Map<string, Peer>();
  const peersByIncarnation = new Map<string, Peer>();
  /** Addresses of possible VMs from which no message was received yet. */
  const candidateAddresses = new Set<string>();
  /** Times at which VMs were removed because nothing was heard of them: they may still run, cut off from this VM. */
  const lostVms = new Map<string, number>();
  const socket = createSocket('udp4');
  let isWatching = true;
  let isFirst = false;
  /** Time at which a watcher that reaches the store was heard last. */
  let usableWatcherAt = startedAt;
  /** Time since which such a watcher was heard without a break. */
  let usableWatcherSince: number | undefined;
  let isStopped = false;
  let nextCheckAt = Number.NEGATIVE_INFINITY;
  /** Latest era of the store in which this VM was registered. */
  let registeredEra: number | undefined;

  const getAddresses = (): Set<string> => {
    const addresses = new Set(candidateAddresses);
    peers.forEach((peer) => addresses.add(peer.address));
    addresses.delete(localAddress);
    return addresses;
  };

  const getAddressesIn = (dataCentres: ReadonlySet<string>): string[] =>
    [...peers.values()]
      .filter((peer) => dataCentres.has(peer.dataCentre))
      .map((peer) => peer.address);

  const getHeartbeatMs = (role: StoreRole): number =>
    role === 'watcher' ? heartbeatMs : Math.max(heartbeatMs, (peers.size + 1) * heartbeatPerVmMs);

  const getLocalRole = (): StoreRole => (isWatching ? 'watcher' : 'reader');

  const sendDatagram = (bytes: Buffer, address: string): void => {
    const [host = '', port] = address.split(':');
    // Errors are ignored: the next message replaces a lost one.
    socket.send(bytes, Number(port), host, () => {});
  };

  const limitOutbox = makeLimitOutbox({
    incarnation: deps.incarnation,
    listRows: deps.listLimitRows,
    countVms: () => peers.size + 1,
    getPeriodMs: () => getHeartbeatMs('reader'),
    getAddresses,
    sendDatagram,
    now: deps.now,
  });

  const evacuationOutbox = makeEvacuationOutbox({
    listRows: deps.listEvacuationRows,
    getPeriodMs: () => getHeartbeatMs('reader'),
    getAddresses,
    sendDatagram,
  });

  const outbox = makePeerOutbox({
    vm: deps.vm,
    dataCentre: deps.dataCentre,
    incarnation: deps.incarnation,
    address: localAddress,
    view,
    getRole: getLocalRole,
    getHeartbeatMs: () => getHeartbeatMs(getLocalRole()),
    getFullPeriodMs: () => getHeartbeatMs('reader'),
    countVms: () => peers.size + 1,
    getAddresses,
    getAddressesIn,
    sendDatagram,
    getLocalLoad: deps.getLocalLoad,
    getQuotaLevels: deps.getQuotaLevels,
    now: deps.now,
  });

  /**
   * Applies a peer's changes if no earlier change is missing here; otherwise they are fetched
   * later.
   */
  const applyServerChanges = (changes: ServerChanges): void => {
    if (view.getSeenRevisions().servers < changes.after) return;
    view.merge({ config: undefined, servers: changes.servers, removed: changes.removed });
  };

  const removePeer = (peer: Peer): void => {
    peers.delete(peer.vm);
    peersByIncarnation.delete(peer.incarnation);
    deps.onPeerRemoved(peer.incarnation);
  };

  const applyUpdate = (peer: Peer, update: LoadUpdate): void => {
    if (peer.sequence >= update.sequence) return;
    const now = deps.now();
    if (peer.isUnresponsive) log(2201, { peer: peer.vm, incarnation: peer.incarnation });
    peer.sequence = update.sequence;
    peer.lastReceivedAt = now;
    peer.lastUpdate = update;
    peer.isUnresponsive = false;
    if (update.isShuttingDown) {
      removePeer(peer);
      return;
    }
    deps.onUpdate(update, peer.isOlder, now);
    if (update.serverChanges) applyServerChanges(update.serverChanges);
    if (fetcher.isAhead(update.seenRevisions)) fetcher.fetchMissing(now);
  };

  const applyFullMessage = (message: FullMessage): void => {
    if (message.incarnation === deps.incarnation) return;
    if (message.quotaLevels) deps.onQuotaLevels(message.quotaLevels, deps.now());
    const previous = peers.get(message.vm);
    if (previous && previous.incarnation !== message.incarnation) removePeer(previous);
    candidateAddresses.delete(message.address);
    const existing = peers.get(message.vm);
    if (existing) {
      applyUpdate(existing, message);
      return;
    }
    const peer: Peer = {
      vm: message.vm,
      incarnation: message.incarnation,
      sequence: 0,
      address: message.address,
      dataCentre: message.dataCentre,
      lastReceivedAt: deps.now(),
      lastUpdate: message,
      isOlder: message.ageMs > deps.now() - startedAt,
      isUnresponsive: false,
    };
    log(2201, { peer: message.vm, incarnation: message.incarnation });
    peers.set(message.vm, peer);
    lostVms.delete(message.vm);
    peersByIncarnation.set(message.incarnation, peer);
    applyUpdate(peer, message);
    // The new peer does not know this VM either. If a full message went to all VMs here, the number
    // of messages in a starting fleet would grow with the cube of its size.
    outbox.sendFullTo(message.address);
    limitOutbox.sendAllTo(message.address);
    evacuationOutbox.sendTo(message.address);
  };

  const fetcher = makeViewFetcher({
    view,
    dataCentre: deps.dataCentre,
    isWatching: () => isWatching,
    countVms: () => peers.size + 1,
    listResponsivePeers: () =>
      [...peers.values()]
        .filter((peer) => !peer.isUnresponsive)
        .map(({ address, dataCentre, lastUpdate }) => ({
          address,
          dataCentre,
          seenRevisions: lastUpdate.seenRevisions,
        })),
    listAddresses: () => [...getAddresses()],
    localAddress,
    metrics: deps.metrics,
    log,
    now: deps.now,
  });

  const getPeerTimeoutMs = (peer: Peer): number =>
    getHeartbeatMs(peer.lastUpdate.role) * maxMissedHeartbeats;

  const checkPeerTimeouts = (now: number): void => {
    lostVms.forEach((removedAt, vm) => {
      if (now - removedAt > lostVmExpiryMs) lostVms.delete(vm);
    });
    peers.forEach((peer) => {
      const silenceMs = now - peer.lastReceivedAt;
      if (silenceMs > peerExpiryMs) {
        removePeer(peer);
        lostVms.set(peer.vm, now);
      }
      if (silenceMs <= peerExpiryMs && silenceMs > getPeerTimeoutMs(peer) && !peer.isUnresponsive) {
        peer.isUnresponsive = true;
        log(2202, { peer: peer.vm, silenceMs: Math.round(silenceMs) });
      }
    });
  };

  const updateRole = (now: number): void => {
    const otherVms = [...peers.values()].map((peer) => ({
      incarnation: peer.incarnation,
      isStoreReachable: peer.lastUpdate.isStoreReachable,
      isWatcher: peer.lastUpdate.role === 'watcher',
      isFresh:
        now - peer.lastReceivedAt <
        (peer.lastUpdate.role === 'watcher' ? watcherTimeoutMs : getPeerTimeoutMs(peer)),
    }));
    const self = { incarnation: deps.incarnation, isStoreReachable: view.isStoreReachable() };
    isFirst = isFirstVm(self, otherVms);
    if (otherVms.some((vm) => vm.isFresh && vm.isStoreReachable && vm.isWatcher)) {
      usableWatcherAt = now;
      usableWatcherSince ??= now;
    } else usableWatcherSince = undefined;
    // A VM that doesn't try the store can't notice that it reaches it again.
    if (!isWatching && now - (usableWatcherSince ?? now) > assumeReachableMs)
      view.assumeStoreReachable();
    const isWatcherNow = shouldWatch(self, otherVms, now - usableWatcherAt);
    if (isWatcherNow === isWatching) return;
    isWatching = isWatcherNow;
    log(2204, {
      role: isWatcherNow ? 'watcher' : 'reader',
      heard: otherVms.filter((vm) => vm.isFresh).length,
    });
    outbox.sendFullToAll();
  };

  const register = (): void => {
    void registerVm({
      store: deps.store,
      key: deps.vmPrefix + deps.vm,
      vmPrefix: deps.vmPrefix,
      address: localAddress,
      isStopped: () => isStopped,
      onListed: (addresses) => {
        addresses.forEach((address) => candidateAddresses.add(address));
        outbox.sendFullToAll();
      },
      log,
    });
  };

  /** Registers this VM again after a restore, in which its entry may have been lost. */
  const checkStoreEra = (): void => {
    const seen = view.getSeenRevisions();
    const newestRevision = Math.max(seen.config, seen.servers);
    if (newestRevision === 0) return;
    const era = getStoreEra(newestRevision);
    registeredEra ??= era;
    if (era <= registeredEra) return;
    registeredEra = era;
    log(2111, { era });
    // The VMs of a large fleet don't all call the store at the same moment.
    setTimeout(register, Math.random() * registrationDelayMs).unref();
  };

  const listWaiting: PeersController['listWaiting'] = (now) =>
    [...peers.values()].flatMap(({ lastReceivedAt, lastUpdate }) =>
      now - lastReceivedAt > maxWaitingAgeMs ? [] : [lastUpdate.waiting],
    );

  return {
    start: () => {
      deps.seeds.forEach((seed) => candidateAddresses.add(`${seed.host}:${seed.port}`));
      socket.on('message', (bytes, sender) => {
        const received = decodeMessage(bytes);
        if (!received) log(2203, { from: sender.address, bytes: bytes.length });
        else if (received.kind === 'full') applyFullMessage(received.message);
        else if (received.kind === 'limits') {
          const now = deps.now();
          deps.onLimitRows(received.incarnation, received.rows, now - startedAt, now);
        } else if (received.kind === 'evacuations') deps.onEvacuationRows(received.rows);
        else if (received.kind === 'plain') deps.onPlainRows(received.rows, deps.now());
        else if (received.kind === 'origin')
          deps.onOriginMessage(received.message, `${sender.address}:${sender.port}`);
        else if (received.kind === 'rates') deps.onRateMessage(received.message);
        else {
          const peer = peersByIncarnation.get(received.update.incarnation);
          if (peer) applyUpdate(peer, received.update);
        }
      });
      socket.on('error', (error) => log(2203, { reason: error.message }));
      socket.bind(deps.endpoint.port, deps.endpoint.host, () => {
        outbox.sendFullToAll();
        register();
      });
    },
    stop: async () => {
      isStopped = true;
      fetcher.stop();
      limitOutbox.stop();
      outbox.sendShutdown();
      await sleep(1);
      socket.close();
    },
    notifyChange: outbox.notifyChange,
    listPeers: () => [...peers.values()],
    listResponsivePeers: () => [...peers.values()].filter((peer) => !peer.isUnresponsive),
    sendDatagram,
    notifyLimits: limitOutbox.notifyChange,
    notifyEvacuations: () => evacuationOutbox.notifyChange(deps.now()),
    hasVmIn: (dataCentre) =>
      dataCentre === deps.dataCentre ||
      [...peers.values()].some((peer) => peer.dataCentre === dataCentre),
    getTurn: () => {
      let rank = 0;
      [...peers.keys(), ...lostVms.keys()].forEach((vm) => {
        if (vm < deps.vm) rank += 1;
      });
      return { rank, vms: getAddresses().size + lostVms.size + 1 };
    },
    tick: (now) => {
      if (now >= nextCheckAt) {
        nextCheckAt = now + checkPeriodMs;
        checkPeerTimeouts(now);
        updateRole(now);
        checkStoreEra();
        fetcher.fetchMissing(now);
      }
      outbox.tick(now);
      limitOutbox.tick(now);
      evacuationOutbox.tick(now);
    },
    isWatcher: () => isWatching && deps.now() - startedAt > startupGraceMs,
    isFirst: () => isFirst && deps.now() - startedAt > firstVmGraceMs,
    countVms: () => peers.size + 1,
    getReachableShare: () => {
      const reachable = [...peers.values()].filter((peer) => !peer.isUnresponsive).length;
      return (reachable + 1) / (peers.size + 1);
    },
    countWaitingTokens: (service, now) =>
      listWaiting(now).reduce((tokens, rows) => tokens + (rows[service] ?? 0), 0),
    listWaiting,
  };
};
