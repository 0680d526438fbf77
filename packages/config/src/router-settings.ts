import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { ConfigError } from '@hemlocksill/errors/config-errors.js';
import { plainName, wholeNumber, yesNo } from './check-section.js';
import { endpoint, endpoints, readSingleSection, type Endpoint } from './settings.js';

/** The settings of a router process. */
export interface RouterSettings {
  readonly vm: string;
  readonly dataCentre: string;
  /** Address that callers connect to. */
  readonly callers: Endpoint;
  /** Address that the balancer asks whether the VM takes callers. */
  readonly ready: Endpoint;
  /** Address of the interface to other VMs, over TCP and UDP. */
  readonly peers: Endpoint;
  /** Addresses of other VMs to ask while the store is away. */
  readonly seeds: readonly Endpoint[];
  readonly metrics: Endpoint;
  readonly store: Endpoint;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** Time from the signal to stop until the process is killed. */
  readonly graceMs: number;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Cost that a workspace's window may hold beyond rate and burst. */
  readonly quotaSlack: number;
  /** Window in which a workspace's rate is judged. */
  readonly quotaWindowMs: number;
  /** Bound on the time until a configuration is in force. */
  readonly configApplyMs: number;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
}

const decimal = z
  .string()
  .regex(/^\d+(\.\d+)?$/, 'must be a number')
  .transform(Number);

const routerSchema = z.strictObject({
  vm: plainName,
  'data-centre': plainName,
  callers: endpoint,
  ready: endpoint,
  peers: endpoint,
  seeds: endpoints.default([]),
  metrics: endpoint,
  store: endpoint,
  'first-start': z
    .enum(['true', 'false'])
    .transform((v) => v === 'true')
    .or(yesNo)
    .default(false),
  'grace-s': decimal.default(8),
  'retry-ratio': decimal.default(0.2),
  'retry-slack': decimal.default(50),
  'retry-window-s': decimal.default(10),
  'quota-slack': decimal.default(0),
  'quota-window-s': decimal.default(8),
  'config-apply-ms': wholeNumber(1, 600_000).default(2_000),
  'log-level': z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

const millisecondsPerSecond = 1_000;

/**
 * Parses and checks the settings of a router process.
 *
 * @example
 * readRouterSettings('[router]').isErr(); // true, and the error lists every missing field
 */
export const readRouterSettings = (text: string): Result<RouterSettings, ConfigError> =>
  readSingleSection(text, 'router', routerSchema, () => []).map((v) => ({
    vm: v.vm,
    dataCentre: v['data-centre'],
    callers: v.callers,
    ready: v.ready,
    peers: v.peers,
    seeds: v.seeds,
    metrics: v.metrics,
    store: v.store,
    isFirstStart: v['first-start'],
    graceMs: v['grace-s'] * millisecondsPerSecond,
    retryRatio: v['retry-ratio'],
    retrySlack: v['retry-slack'],
    retryWindowMs: v['retry-window-s'] * millisecondsPerSecond,
    quotaSlack: v['quota-slack'],
    quotaWindowMs: v['quota-window-s'] * millisecondsPerSecond,
    configApplyMs: v['config-apply-ms'],
    logLevel: v['log-level'],
  }));
