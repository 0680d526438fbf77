import type { BackendServer } from '@hemlocksill/types/routing.js';
import { chooseHolders } from '@hemlocksill/routing/choose-holders.js';
import {
  makeSharedRates,
  type RateRow,
  type SharedRates,
} from '@hemlocksill/routing/shared-rates.js';
import { encodeRateMessage, maxRateRows, type RateMessage } from './rate-message.js';

/** Interval between two messages of a VM about rates. */
const exchangePeriodMs = 1_000;

/** Interval between two searches for engines that are gone. */
const prunePeriodMs = 5_000;

/** Bytes of complete tables that the publisher sends to VMs that are new to it, per exchange. */
const greetingBytes = 16_000;

/** Size of a row in a message. */
const rowBytes = 45;

/** Key by which the VM that publishes rates is chosen. */
const publisherKey = 'engine-rates';

/** A VM that responds. */
export interface RatePeer {
  readonly vm: string;
  readonly address: string;
  /** Identifies one run of its process. */
  readonly incarnation: string;
}

/** Dependencies of the controller. */
export interface RateControllerDeps {
  readonly vm: string;
  readonly listResponsivePeers: () => readonly RatePeer[];
  readonly listServers: () => readonly BackendServer[];
  readonly sendDatagram: (bytes: Buffer, address: string) => void;
}

/** Shares the rates of single engines between the VMs. */
export interface RateController {
  readonly recordSample: SharedRates['recordSample'];
  /** Rate of an engine as all VMs measured it; undefined if it is not known. */
  readonly getRate: SharedRates['getRate'];
  readonly onMessage: (message: RateMessage) => void;
  readonly tick: (now: number) => void;
}

/**
 * Makes the controller of a VM.
 *
 * One VM, chosen by a hash so that all choose the same one, averages the samples of all and publishes what has
 * changed. Samples on the way to it are lost if it ends; the VM that is chosen then goes on from the rates that
 * were published. While VMs know different peers, several may publish; their averages are of the same engines.
 *
 * @example
 * const rates = makeRateController(deps);
 * rates.recordSample(engine, 'output', 310);
 */
export const makeRateController = (deps: RateControllerDeps): RateController => {
  const shared = makeSharedRates();
  /** Runs of processes that were sent all rates. */
  let greeted = new Set<string>();
  let nextExchangeAt = Number.NEGATIVE_INFINITY;
  let nextPruneAt = Number.NEGATIVE_INFINITY;

  const send = (
    kind: RateMessage['kind'],
    rows: readonly RateRow[],
    peers: readonly RatePeer[],
  ): void => {
    for (let from = 0; from < rows.length; from += maxRateRows) {
      const bytes = encodeRateMessage({ kind, rows: rows.slice(from, from + maxRateRows) });
      peers.forEach(({ address }) => deps.sendDatagram(bytes, address));
    }
  };

  /** Sends all rates to VMs that are new to this one, a few at a time. */
  const greet = (peers: readonly RatePeer[]): void => {
    const rows = shared.listPublished('all');
    if (rows.length === 0) return;
    const count = Math.max(1, Math.floor(greetingBytes / (rows.length * rowBytes)));
    const newPeers = peers.filter(({ incarnation }) => !greeted.has(incarnation)).slice(0, count);
    send('published', rows, newPeers);
    const present = peers.filter(({ incarnation }) => greeted.has(incarnation));
    greeted = new Set([...present, ...newPeers].map(({ incarnation }) => incarnation));
  };

  const publish = (samples: readonly RateRow[], peers: readonly RatePeer[]): void => {
    shared.average(samples);
    send('published', shared.listPublished('changed'), peers);
    greet(peers);
  };

  const exchange = (): void => {
    const peers = deps.listResponsivePeers();
    const [publisher] = chooseHolders(publisherKey, [deps.vm, ...peers.map(({ vm }) => vm)], 1);
    const samples = shared.takeSamples();
    if (publisher === deps.vm) publish(samples, peers);
    else
      send(
        'samples',
        samples,
        peers.filter(({ vm }) => vm === publisher),
      );
  };

  return {
    recordSample: shared.recordSample,
    getRate: shared.getRate,
    onMessage: ({ kind, rows }) => {
      if (kind === 'samples') shared.average(rows);
      else shared.adopt(rows);
    },
    tick: (now) => {
      if (now >= nextPruneAt) {
        nextPruneAt = now + prunePeriodMs;
        shared.prune(deps.listServers());
      }
      if (now < nextExchangeAt) return;
      nextExchangeAt = now + exchangePeriodMs;
      exchange();
    },
  };
};
