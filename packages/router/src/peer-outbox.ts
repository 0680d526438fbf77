import {
  chooseRecipients,
  mergeRecipients,
  type Recipients,
  type FleetChange,
} from '@hemlocksill/routing/choose-recipients.js';
import type { AdmittedTotals, QuotaLevels } from '@hemlocksill/routing/fleet-quota.js';
import {
  encodeGossip,
  encodeUpdate,
  type LoadUpdate,
  type ServerNews,
  type ViewRole,
} from './gossip-message.js';
import type { ViewController } from './view-controller.js';

/** Time for which changes are gathered into one message. */
const gatherMs = 5;

/** Changes of backend servers that fit into one message. */
const mostNews = 3;

/** What the messages of a VM are made from. */
export interface OutboxDeps {
  readonly vm: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  /** Address of this VM's peer interface. */
  readonly address: string;
  readonly view: Pick<ViewController, 'seen' | 'rawSince' | 'isStoreReachable'>;
  readonly role: () => ViewRole;
  /** Longest time between two whole messages. */
  readonly periodMs: () => number;
  readonly countVms: () => number;
  /** Addresses of all VMs, and of those in some data centres. */
  readonly targets: () => Iterable<string>;
  readonly targetsIn: (dataCentres: ReadonlySet<string>) => readonly string[];
  readonly post: (bytes: Buffer, address: string) => void;
  readonly describe: () => Pick<LoadUpdate, 'loads' | 'admitted' | 'waiting'>;
  readonly describeLevels: (now: number) => QuotaLevels | undefined;
  readonly now: () => number;
}

/** Messages of this VM to the others. */
export interface PeerOutbox {
  /** Tells those whom it concerns soon that something changed. */
  readonly noteChange: (change: FleetChange) => void;
  /** Sends a whole message to all soon. */
  readonly greetAll: () => void;
  /** Sends a whole message soon to a VM that does not know this one yet. */
  readonly greet: (address: string) => void;
  /** Sends a whole message where one is due. */
  readonly tick: (now: number) => void;
  /** Tells all that this process ends; nothing is sent after it. */
  readonly sendLast: () => void;
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
  let wholeAt = Number.NEGATIVE_INFINITY;
  /** Whether the next message must be whole, for all VMs. */
  let isWholeDue = true;
  /** Addresses of VMs that do not know this one yet. */
  const strangers = new Set<string>();
  /** Who hears the next message, unless it is whole. */
  let reach: Recipients = new Set();
  /** Totals and newest revision of a backend server, as all VMs were last told. */
  let told: AdmittedTotals = {};
  let toldServers = 0;
  let gather: NodeJS.Timeout | undefined;
  let stopped = false;

  /** Selects the totals that changed since all VMs were told. */
  const selectChanged = (admitted: AdmittedTotals): AdmittedTotals =>
    Object.fromEntries(Object.entries(admitted).filter(([name, total]) => told[name] !== total));

  /** Changes that this VM has learnt since it told all others, where they are small. */
  const selectNews = (): ServerNews | undefined => {
    const isNew = toldServers > 0 && view.seen().servers > toldServers;
    if (!isNew || deps.role() === 'reader') return undefined;
    const { servers, removed } = view.rawSince({
      config: Number.MAX_SAFE_INTEGER,
      servers: toldServers,
    });
    if (servers.length + removed.length > mostNews) return undefined;
    return { after: toldServers, servers, removed };
  };

  const makeUpdate = (isLeaving: boolean): LoadUpdate => {
    sequence += 1;
    return {
      incarnation: deps.incarnation,
      sequence,
      seen: view.seen(),
      ...deps.describe(),
      isLeaving,
      role: deps.role(),
      isStoreReachable: view.isStoreReachable(),
      news: selectNews(),
    };
  };

  const encodeWhole = (update: LoadUpdate, now: number): Buffer =>
    encodeGossip({
      ...update,
      vm: deps.vm,
      address: deps.address,
      dataCentre: deps.dataCentre,
      ageMs: Math.round(now - startedAt),
      levels: deps.describeLevels(now),
    });

  const postChanges = (update: LoadUpdate): void => {
    const bytes = encodeUpdate({ ...update, admitted: selectChanged(update.admitted) });
    const addresses = reach === 'fleet' ? deps.targets() : deps.targetsIn(reach);
    [...addresses].forEach((address) => {
      if (!strangers.has(address)) deps.post(bytes, address);
    });
  };

  const send = (isLeaving: boolean): void => {
    gather = undefined;
    const now = deps.now();
    const update = makeUpdate(isLeaving);
    const isForAll = isLeaving || isWholeDue || now - wholeAt >= deps.periodMs();
    if (isForAll || strangers.size > 0) {
      const whole = encodeWhole(update, now);
      [...(isForAll ? deps.targets() : strangers)].forEach((one) => deps.post(whole, one));
    }
    if (!isForAll) postChanges(update);
    if (isForAll) wholeAt = now;
    if (isForAll || reach === 'fleet') {
      told = { ...update.admitted };
      toldServers = update.seen.servers;
    }
    isWholeDue = false;
    reach = new Set();
    strangers.clear();
  };

  const sendSoon = (): void => {
    if (gather || stopped) return;
    gather = setTimeout(() => send(false), gatherMs);
  };

  return {
    noteChange: (change) => {
      reach = mergeRecipients(reach, chooseRecipients(change, deps.dataCentre, deps.countVms()));
      sendSoon();
    },
    greetAll: () => {
      isWholeDue = true;
      sendSoon();
    },
    greet: (address) => {
      strangers.add(address);
      sendSoon();
    },
    tick: (now) => {
      if (now - wholeAt >= deps.periodMs()) sendSoon();
    },
    sendLast: () => {
      if (gather) clearTimeout(gather);
      stopped = true;
      send(true);
    },
  };
};
