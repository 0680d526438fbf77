import {
  chooseReach,
  joinReach,
  type ChangeReach,
  type FleetChange,
} from '@hemlocksill/routing/choose-reach.js';
import type { AdmittedTotals, QuotaLevels } from '@hemlocksill/routing/fleet-quota.js';
import {
  encodeFullMessage,
  encodeUpdate,
  type LoadUpdate,
  type ServerChanges,
  type StoreRole,
} from './gossip-message.js';
import type { ViewController } from './view-controller.js';

/** Time for which changes are gathered into one message. */
const batchDelayMs = 5;

/** Changes of backend servers that fit into one message. */
const maxServerChanges = 3;

/** What the messages of a VM are made from. */
export interface OutboxDeps {
  readonly vm: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  /** Address of this VM's peer interface. */
  readonly address: string;
  readonly view: Pick<ViewController, 'getSeenRevisions' | 'getChangesSince' | 'isStoreReachable'>;
  readonly getRole: () => StoreRole;
  /** Longest time between two whole messages. */
  readonly getHeartbeatMs: () => number;
  readonly countVms: () => number;
  /** Addresses of all VMs, and of those in some data centres. */
  readonly getAddresses: () => Iterable<string>;
  readonly getAddressesIn: (dataCentres: ReadonlySet<string>) => readonly string[];
  readonly sendDatagram: (bytes: Buffer, address: string) => void;
  readonly describeLoad: () => Pick<LoadUpdate, 'loads' | 'admitted' | 'waiting'>;
  readonly describeQuotaLevels: (now: number) => QuotaLevels | undefined;
  readonly now: () => number;
}

/** Messages of this VM to the others. */
export interface PeerOutbox {
  /** Tells those whom it concerns soon that something changed. */
  readonly notifyChange: (change: FleetChange) => void;
  /** Sends a whole message to all soon. */
  readonly sendFullToAll: () => void;
  /** Sends a whole message soon to a VM that does not know this one yet. */
  readonly sendFullTo: (address: string) => void;
  /** Sends a whole message where one is due. */
  readonly tick: (now: number) => void;
  /** Tells all that this process ends; nothing is sent after it. */
  readonly sendShutdown: () => void;
}

/**
 * Makes the outbox of a VM. A message holds the whole load of its sender; a whole message also
 * says who the sender is and what it knows of rates.
 *
 * @example
 * makePeerOutbox(deps).noteChange({ kind: 'load', dataCentre: 'north-a' });
 */
export const makePeerOutbox = (deps: OutboxDeps): PeerOutbox => {
  const { view } = deps;
  const startedAt = deps.now();
  let sequence = 0;
  let lastFullAt = Number.NEGATIVE_INFINITY;
  /** Whether the next message must be whole, for all VMs. */
  let isFullDue = true;
  /** Addresses of VMs that do not know this one yet. */
  const newAddresses = new Set<string>();
  /** Who hears the next message, unless it is whole. */
  let recipients: ChangeReach = new Set();
  /** Totals and newest revision of a backend server, as all VMs were last told. */
  let sentTotals: AdmittedTotals = {};
  let sentServerRevision = 0;
  let sendTimer: NodeJS.Timeout | undefined;
  let isStopped = false;

  /** Selects the totals that changed since all VMs were told. */
  const selectChangedTotals = (admitted: AdmittedTotals): AdmittedTotals =>
    Object.fromEntries(
      Object.entries(admitted).filter(([name, total]) => sentTotals[name] !== total),
    );

  /** Changes that this VM has learnt since it told all others, where they are small. */
  const selectServerChanges = (): ServerChanges | undefined => {
    const hasChanges =
      sentServerRevision > 0 && view.getSeenRevisions().servers > sentServerRevision;
    if (!hasChanges || deps.getRole() === 'reader') return undefined;
    const { servers, removed } = view.getChangesSince({
      config: Number.MAX_SAFE_INTEGER,
      servers: sentServerRevision,
    });
    if (servers.length + removed.length > maxServerChanges) return undefined;
    return { after: sentServerRevision, servers, removed };
  };

  const makeUpdate = (isShuttingDown: boolean): LoadUpdate => {
    sequence += 1;
    return {
      incarnation: deps.incarnation,
      sequence,
      seenRevisions: view.getSeenRevisions(),
      ...deps.describeLoad(),
      isShuttingDown,
      role: deps.getRole(),
      isStoreReachable: view.isStoreReachable(),
      serverChanges: selectServerChanges(),
    };
  };

  const encodeFull = (update: LoadUpdate, now: number): Buffer =>
    encodeFullMessage({
      ...update,
      vm: deps.vm,
      address: deps.address,
      dataCentre: deps.dataCentre,
      ageMs: Math.round(now - startedAt),
      quotaLevels: deps.describeQuotaLevels(now),
    });

  const sendUpdate = (update: LoadUpdate): void => {
    const bytes = encodeUpdate({ ...update, admitted: selectChangedTotals(update.admitted) });
    const addresses =
      recipients === 'fleet' ? deps.getAddresses() : deps.getAddressesIn(recipients);
    [...addresses].forEach((address) => {
      if (!newAddresses.has(address)) deps.sendDatagram(bytes, address);
    });
  };

  const send = (isShuttingDown: boolean): void => {
    sendTimer = undefined;
    const now = deps.now();
    const update = makeUpdate(isShuttingDown);
    const isFullForAll = isShuttingDown || isFullDue || now - lastFullAt >= deps.getHeartbeatMs();
    if (isFullForAll || newAddresses.size > 0) {
      const fullMessage = encodeFull(update, now);
      [...(isFullForAll ? deps.getAddresses() : newAddresses)].forEach((address) =>
        deps.sendDatagram(fullMessage, address),
      );
    }
    if (!isFullForAll) sendUpdate(update);
    if (isFullForAll) lastFullAt = now;
    if (isFullForAll || recipients === 'fleet') {
      sentTotals = { ...update.admitted };
      sentServerRevision = update.seenRevisions.servers;
    }
    isFullDue = false;
    recipients = new Set();
    newAddresses.clear();
  };

  const scheduleSend = (): void => {
    if (sendTimer || isStopped) return;
    sendTimer = setTimeout(() => send(false), batchDelayMs);
  };

  return {
    notifyChange: (change) => {
      recipients = joinReach(recipients, chooseReach(change, deps.dataCentre, deps.countVms()));
      scheduleSend();
    },
    sendFullToAll: () => {
      isFullDue = true;
      scheduleSend();
    },
    sendFullTo: (address) => {
      newAddresses.add(address);
      scheduleSend();
    },
    tick: (now) => {
      if (now - lastFullAt >= deps.getHeartbeatMs()) scheduleSend();
    },
    sendShutdown: () => {
      if (sendTimer) clearTimeout(sendTimer);
      isStopped = true;
      send(true);
    },
  };
};
