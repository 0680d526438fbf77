import { makeSeededRandom, type SeededRandom } from '@hemlocksill/bench/seeded-random.js';
import type { ProxyMode } from './tcp-proxy.js';

/** A fault of a soak; `at` and `forMs` count from its start. */
export type SoakFault = { readonly at: number; readonly forMs: number } & (
  | { readonly kind: 'vm-kill' | 'vm-pause' | 'vm-stop'; readonly vm: number }
  | { readonly kind: 'store'; readonly how: 'silent' | 'refusing' | 'forget' }
  | { readonly kind: 'store-link'; readonly vm: number; readonly mode: ProxyMode }
  | { readonly kind: 'server-link'; readonly server: number; readonly mode: ProxyMode }
  | { readonly kind: 'server-leaves'; readonly server: number }
  | { readonly kind: 'server-full'; readonly server: number }
  | { readonly kind: 'key-withdrawn' }
  | { readonly kind: 'config-storm' }
);

/** What a plan is made for. */
export interface SoakSize {
  readonly vms: number;
  readonly servers: number;
  /** Time in which faults begin. */
  readonly faultMs: number;
}

/** Mean time between two faults; they last longer, so that they overlap. */
const meanGapMs = 900;
const shortestMs = 300;
const longestMs = 3_500;

const harms: readonly ProxyMode[] = ['delay', 'silent', 'one-way', 'reset'];

type Maker = (at: number, forMs: number, random: SeededRandom, size: SoakSize) => SoakFault;

const pickVm = (random: SeededRandom, size: SoakSize): number => random.integer(0, size.vms - 1);
const pickServer = (random: SeededRandom, size: SoakSize): number =>
  random.integer(0, size.servers - 1);

const makers: readonly Maker[] = [
  (at, forMs, random, size) => ({ kind: 'vm-kill', at, forMs, vm: pickVm(random, size) }),
  (at, forMs, random, size) => ({ kind: 'vm-pause', at, forMs, vm: pickVm(random, size) }),
  (at, forMs, random, size) => ({ kind: 'vm-stop', at, forMs, vm: pickVm(random, size) }),
  (at, forMs, random) => ({
    kind: 'store',
    at,
    forMs,
    how: random.pick(['silent', 'refusing', 'forget'] as const),
  }),
  (at, forMs, random, size) => ({
    kind: 'store-link',
    at,
    forMs,
    vm: pickVm(random, size),
    mode: random.pick(harms),
  }),
  (at, forMs, random, size) => ({
    kind: 'server-link',
    at,
    forMs,
    server: pickServer(random, size),
    mode: random.pick(harms),
  }),
  (at, forMs, random, size) => ({
    kind: 'server-leaves',
    at,
    forMs,
    server: pickServer(random, size),
  }),
  (at, forMs, random, size) => ({
    kind: 'server-full',
    at,
    forMs,
    server: pickServer(random, size),
  }),
  (at, forMs) => ({ kind: 'key-withdrawn', at, forMs }),
  (at, forMs) => ({ kind: 'config-storm', at, forMs }),
];

/**
 * Plans the faults of a seed: in series, overlapping, and now and then one kind again and again.
 *
 * @example
 * planFaults(7, { vms: 4, servers: 7, faultMs: 8_000 });
 */
export const planFaults = (seed: number, size: SoakSize): readonly SoakFault[] => {
  const random = makeSeededRandom(seed);
  const faults: SoakFault[] = [];
  let at = 500;
  while (at < size.faultMs) {
    const make = random.pick(makers);
    const repeats = random.next() < 0.2 ? 3 : 1;
    for (let n = 0; n < repeats; n += 1) {
      const forMs = random.integer(shortestMs, longestMs);
      faults.push(make(Math.round(at), forMs, random, size));
      at += random.exponential(meanGapMs);
    }
  }
  return faults;
};
