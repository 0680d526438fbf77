import {
  chooseRecipients,
  mergeRecipients,
  selectiveSendMinVms,
  type Recipients,
  type FleetChange,
} from '@hemlocksill/routing/choose-recipients.js';
import { isRecentCrashRow, type CrashRow } from '@hemlocksill/routing/crash-rows.js';
import type { AdmittedTotals, QuotaLevels } from '@hemlocksill/routing/fleet-quota.js';
import {
  encodeFullMessage,
  encodeUpdate,
  type LoadUpdate,
  type ServerChanges,
  type StoreRole,
} from './gossip-message.js';
import type { ViewController } from './view-controller.js';

/** Time for which changes are collected into one message, in a small and in a large fleet. */
export const batchDelayMs = 5;
export const largeFleetBatchDelayMs = 12;

/** Number of VMs to which a reader passes on a change of its view. */
const relayCount = 3;

/** Updates to all VMs that repeat a crash row, since messages may be lost; full messages carry it as well. */
const crashRowSends = 2;

/** Changes of backend servers that one message may carry; peers fetch larger sets. */
const maxServerChanges = 3;

/** Dependencies of the outbox. */
export interface OutboxDeps {
  readonly vm: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  /** Address of this VM's peer interface. */
  readonly address: string;
  readonly view: Pick<ViewController, 'getSeenRevisions' | 'getChangesSince' | 'isStoreReachable'>;
  readonly getRole: () => StoreRole;
  /** Maximum time between two messages to all VMs. */
  readonly getHeartbeatMs: () => number;
  /** Maximum time between two full messages; the others are updates. */
  readonly getFullPeriodMs: () => number;
  readonly countVms: () => number;
  /** Addresses of all other VMs, and of those in the given data centres. */
  readonly getAddresses: () => Iterable<string>;
  readonly getAddressesIn: (dataCentres: ReadonlySet<string>) => readonly string[];
  readonly sendDatagram: (bytes: Buffer, address: string) => void;
  readonly getLocalLoad: () => Pick<
    LoadUpdate,
    'loads' | 'admitted' | 'waiting' | 'changing' | 'failing' | 'crashes'
  >;
  readonly getQuotaLevels: (now: number) => QuotaLevels | undefined;
  readonly now: () => number;
}

/** Sends this VM's messages to the other VMs. */
export interface PeerOutbox {
  /** Schedules a message about a change to the VMs that it concerns. */
  readonly notifyChange: (change: FleetChange) => void;
  /** Schedules a full message to all VMs. */
  readonly sendFullToAll: () => void;
  /** Schedules a full message to a VM that does not know this one yet. */
  readonly sendFullTo: (address: string) => void;
  /** Schedules a full message if one is due. */
  readonly tick: (now: number) => void;
  /** Announces the shutdown to all VMs; nothing is sent afterwards. */
  readonly sendShutdown: () => void;
}

/**
 * Makes the outbox of a VM. Every message carries the complete load of its sender; a full
 * message also carries the sender's identity and address and its quota levels.
 *
 * @example
 * makePeerOutbox(deps).notifyChange({ kind: 'load', dataCentre: 'north-a' });
 */
export const makePeerOutbox = (deps: OutboxDeps): PeerOutbox => {
  const { view } = deps;
  const startedAt = deps.now();
  let sequence = 0;
  let lastFullAt = Number.NEGATIVE_INFINITY;
  let lastToAllAt = Number.NEGATIVE_INFINITY;
  /** Whether the next send must be a full message to all VMs. */
  let isFullDue = true;
  /** Addresses of VMs that do not know this one yet. */
  const newAddresses = new Set<string>();
  /** Recipients of the next update, which is not sent if a full message to all VMs is due. */
  let recipients: Recipients = new Set();
  /** Totals and server revision in the last message that went to all VMs. */
  let sentTotals: AdmittedTotals = {};
  let sentServerRevision = 0;
  /** Updates to all VMs that carried each crash row; rows that are not listed any more are left out. */
  let crashRowsSent = new Map<string, number>();
  let sendTimer: NodeJS.Timeout | undefined;
  let isStopped = false;

  /** Selects the totals that changed since the last message to all VMs. */
  const selectChangedTotals = (admitted: AdmittedTotals): AdmittedTotals =>
    Object.fromEntries(
      Object.entries(admitted).filter(([name, total]) => sentTotals[name] !== total),
    );

  /** Selects the crash rows of an update: recent ones that have not been sent to all VMs often enough. */
  const selectCrashRows = (crashes: readonly CrashRow[]): readonly CrashRow[] => {
    if (recipients !== 'fleet') return [];
    const rows = crashes.filter(isRecentCrashRow).map((row) => {
      const [part, incidents, , state] = row;
      const key = [part, state, ...incidents.map(([instance]) => instance)].join(' ');
      return { row, key, sends: crashRowsSent.get(key) ?? 0 };
    });
    crashRowsSent = new Map(rows.map(({ key, sends }) => [key, sends + 1]));
    return rows.flatMap(({ row, sends }) => (sends < crashRowSends ? [row] : []));
  };

  /**
   * Server changes since the last message to all VMs; undefined for a reader or if they are too
   * many.
   */
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
      ...deps.getLocalLoad(),
      isShuttingDown,
      role: deps.getRole(),
      isStoreReachable: view.isStoreReachable(),
      serverChanges: selectServerChanges(),
    };
  };

  /** Encodes a full message; only a VM that does not know this one needs the quota levels. */
  const encodeFull = (update: LoadUpdate, now: number, isForNew: boolean): Buffer =>
    encodeFullMessage({
      ...update,
      vm: deps.vm,
      address: deps.address,
      dataCentre: deps.dataCentre,
      ageMs: Math.round(now - startedAt),
      quotaLevels: isForNew ? deps.getQuotaLevels(now) : undefined,
    });

  const selectAddresses = (): string[] => {
    if (recipients === 'fleet') return [...deps.getAddresses()];
    if (recipients !== 'few') return [...deps.getAddressesIn(recipients)];
    const all = [...deps.getAddresses()];
    return Array.from({ length: Math.min(relayCount, all.length) }, () =>
      all.splice(Math.floor(Math.random() * all.length), 1),
    ).flat();
  };

  const sendUpdate = (update: LoadUpdate): void => {
    const bytes = encodeUpdate({
      ...update,
      admitted: selectChangedTotals(update.admitted),
      crashes: selectCrashRows(update.crashes),
    });
    selectAddresses().forEach((address) => {
      if (!newAddresses.has(address)) deps.sendDatagram(bytes, address);
    });
  };

  const sendFull = (update: LoadUpdate, now: number): void => {
    const bytes = encodeFull(update, now, false);
    [...deps.getAddresses()].forEach((address) => {
      if (!newAddresses.has(address)) deps.sendDatagram(bytes, address);
    });
  };

  const send = (isShuttingDown: boolean): void => {
    sendTimer = undefined;
    const now = deps.now();
    const update = makeUpdate(isShuttingDown);
    const isFullForAll = isShuttingDown || isFullDue || now - lastFullAt >= deps.getFullPeriodMs();
    if (now - lastToAllAt >= deps.getHeartbeatMs()) recipients = 'fleet';
    if (newAddresses.size > 0) {
      const greeting = encodeFull(update, now, true);
      newAddresses.forEach((address) => deps.sendDatagram(greeting, address));
    }
    if (isFullForAll) sendFull(update, now);
    else sendUpdate(update);
    if (isFullForAll) lastFullAt = now;
    if (isFullForAll || recipients === 'fleet') {
      lastToAllAt = now;
      sentTotals = { ...update.admitted };
      sentServerRevision = update.seenRevisions.servers;
    }
    isFullDue = false;
    recipients = new Set();
    newAddresses.clear();
  };

  const scheduleSend = (): void => {
    if (sendTimer || isStopped) return;
    const delayMs = deps.countVms() < selectiveSendMinVms ? batchDelayMs : largeFleetBatchDelayMs;
    sendTimer = setTimeout(() => send(false), delayMs);
  };

  return {
    notifyChange: (change) => {
      recipients = mergeRecipients(
        recipients,
        chooseRecipients(change, deps.dataCentre, deps.countVms()),
      );
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
      if (now - lastToAllAt >= deps.getHeartbeatMs()) scheduleSend();
    },
    sendShutdown: () => {
      if (sendTimer) clearTimeout(sendTimer);
      isStopped = true;
      send(true);
    },
  };
};
