import type { LimitRow } from '@hemlocksill/routing/server-limits.js';
import { selectiveSendMinVms } from '@hemlocksill/routing/choose-recipients.js';
import { encodeLimits } from './gossip-message.js';
import { batchDelayMs, largeFleetBatchDelayMs } from './peer-outbox.js';

/** Rows in one message, so that it fits into a datagram of usual size. */
const maxRowsPerMessage = 10;

/** Dependencies of the outbox. */
export interface LimitOutboxDeps {
  readonly incarnation: string;
  readonly listRows: (which: 'all' | 'changed', now: number) => LimitRow[];
  readonly countVms: () => number;
  /** Time between two messages with all rows. */
  readonly getPeriodMs: () => number;
  readonly getAddresses: () => Iterable<string>;
  readonly sendDatagram: (bytes: Buffer, address: string) => void;
  readonly now: () => number;
}

/** Sends the accounts of limited backend servers to the other VMs. */
export interface LimitOutbox {
  /** Schedules a message to all VMs about what has changed. */
  readonly notifyChange: () => void;
  /** Sends all rows to a VM that has just been heard of. */
  readonly sendAllTo: (address: string) => void;
  /** Sends all rows to all VMs if that is due, since messages may be lost. */
  readonly tick: (now: number) => void;
  readonly stop: () => void;
}

/**
 * Makes the outbox. Its messages are apart from the load of the VM: they are needed only while there are
 * limits, and VMs of the release before can go on reading all others.
 *
 * @example
 * makeLimitOutbox(deps).notifyChange();
 */
export const makeLimitOutbox = (deps: LimitOutboxDeps): LimitOutbox => {
  let sendTimer: NodeJS.Timeout | undefined;
  let lastAllAt = Number.NEGATIVE_INFINITY;

  const sendRows = (rows: readonly LimitRow[], addresses: Iterable<string>): void => {
    for (let from = 0; from < rows.length; from += maxRowsPerMessage) {
      const bytes = encodeLimits(deps.incarnation, rows.slice(from, from + maxRowsPerMessage));
      [...addresses].forEach((address) => deps.sendDatagram(bytes, address));
    }
  };

  const sendChanged = (): void => {
    sendTimer = undefined;
    sendRows(deps.listRows('changed', deps.now()), deps.getAddresses());
  };

  return {
    notifyChange: () => {
      const delayMs = deps.countVms() < selectiveSendMinVms ? batchDelayMs : largeFleetBatchDelayMs;
      sendTimer ??= setTimeout(sendChanged, delayMs);
    },
    sendAllTo: (address) => sendRows(deps.listRows('all', deps.now()), [address]),
    tick: (now) => {
      if (now - lastAllAt < deps.getPeriodMs()) return;
      lastAllAt = now;
      sendRows(deps.listRows('all', now), deps.getAddresses());
    },
    stop: () => clearTimeout(sendTimer),
  };
};
