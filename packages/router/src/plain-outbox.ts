import { makeMessageBudget } from '@hemlocksill/routing/message-budget.js';
import type { PlainRow, ResponseTimes } from '@hemlocksill/routing/response-times.js';
import { encodePlainRows } from './gossip-message.js';

/** Headers of IP and UDP that a datagram adds, in bytes. */
const datagramHeaderBytes = 28;

/**
 * Bytes that a VM sends per second at most. Each VM receives as much on average, so that both directions
 * together stay below 4 KB/s for any size of the fleet.
 */
const bytesPerS = 2_000;

/** Bytes that may be sent at once after a pause: the budget of 250 ms. */
const maxBurstBytes = 500;

/** VMs that get a message, chosen at random each time. */
const recipientCount = 5;

/** Time for which answers are collected. */
const batchDelayMs = 5;

/** Dependencies of the outbox. */
export interface PlainOutboxDeps {
  readonly times: Pick<ResponseTimes, 'takeRows' | 'hasNews'>;
  readonly listAddresses: () => readonly string[];
  readonly sendDatagram: (bytes: Buffer, address: string) => void;
  readonly random: () => number;
  readonly now: () => number;
}

/** Sends response times of plain backend servers to other VMs. */
export interface PlainOutbox {
  /** Schedules a message about what is new, as soon as the budget allows it. */
  readonly notify: () => void;
  readonly stop: () => void;
}

/** Chooses some items at random, all of them if there are few. */
const chooseSome = <T>(items: readonly T[], count: number, random: () => number): T[] => {
  const rest = [...items];
  const chosen: T[] = [];
  while (chosen.length < count && rest.length > 0) {
    const index = Math.floor(random() * rest.length);
    const [item] = rest.splice(index, 1);
    if (item !== undefined) chosen.push(item);
  }
  return chosen;
};

/**
 * Makes the outbox. A lost message is not sent again: what it told is outdated by then.
 *
 * @example
 * makePlainOutbox(deps).notify();
 */
export const makePlainOutbox = (deps: PlainOutboxDeps): PlainOutbox => {
  const budget = makeMessageBudget(bytesPerS, maxBurstBytes);
  let sendTimer: NodeJS.Timeout | undefined;

  const sendRows = (rows: readonly PlainRow[]): void => {
    const bytes = encodePlainRows(rows);
    const recipients = chooseSome(deps.listAddresses(), recipientCount, deps.random);
    budget.take((bytes.length + datagramHeaderBytes) * recipients.length, deps.now());
    recipients.forEach((address) => deps.sendDatagram(bytes, address));
  };

  const schedule = (): void => {
    if (sendTimer || !deps.times.hasNews()) return;
    // The size of the next message is not known yet; it is charged afterwards.
    const delayMs = Math.max(batchDelayMs, budget.getWaitMs(0, deps.now()));
    sendTimer = setTimeout(() => {
      sendTimer = undefined;
      if (budget.getWaitMs(0, deps.now()) === 0) sendRows(deps.times.takeRows(deps.now()));
      schedule();
    }, delayMs);
    sendTimer.unref();
  };

  return { notify: schedule, stop: () => clearTimeout(sendTimer) };
};
