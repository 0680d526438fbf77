import type { EvacuationRow } from '@hemlocksill/routing/evacuations.js';
import { encodeEvacuations } from './gossip-message.js';

/** Messages about a change, since messages may be lost, and the interval between them. */
const messagesPerChange = 5;
const repetitionMs = 500;

/** Dependencies of the outbox. */
export interface EvacuationOutboxDeps {
  readonly listRows: () => EvacuationRow[];
  /** Time between two messages while nothing changes. */
  readonly getPeriodMs: () => number;
  readonly getAddresses: () => Iterable<string>;
  readonly sendDatagram: (bytes: Buffer, address: string) => void;
}

/** Tells the other VMs which data centres are evacuated; sends nothing while none has ever been. */
export interface EvacuationOutbox {
  /** Tells all VMs at once, and some times more. */
  readonly notifyChange: (now: number) => void;
  /** Tells a VM that has just been heard of. */
  readonly sendTo: (address: string) => void;
  /** Tells all VMs if that is due. */
  readonly tick: (now: number) => void;
}

/**
 * Makes the outbox. Its messages are apart from the load of the VM, so that VMs of the release before can go
 * on reading all others.
 *
 * @example
 * makeEvacuationOutbox(deps).notifyChange(now);
 */
export const makeEvacuationOutbox = (deps: EvacuationOutboxDeps): EvacuationOutbox => {
  let messagesLeft = 0;
  let lastSentAt = Number.NEGATIVE_INFINITY;

  const send = (addresses: Iterable<string>): void => {
    const rows = deps.listRows();
    if (rows.length === 0) return;
    const bytes = encodeEvacuations(rows);
    [...addresses].forEach((address) => deps.sendDatagram(bytes, address));
  };

  const sendToAll = (now: number): void => {
    lastSentAt = now;
    messagesLeft = Math.max(0, messagesLeft - 1);
    send(deps.getAddresses());
  };

  return {
    notifyChange: (now) => {
      messagesLeft = messagesPerChange;
      sendToAll(now);
    },
    sendTo: (address) => send([address]),
    tick: (now) => {
      const periodMs = messagesLeft > 0 ? repetitionMs : deps.getPeriodMs();
      if (now - lastSentAt >= periodMs) sendToAll(now);
    },
  };
};
