import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { ConfigError, type ConfigProblem } from '@hemlocksill/errors/config-errors.js';
import { plainName, wholeNumber, yesNo } from './check-section.js';
import {
  endpoint,
  endpoints,
  readOptionalSection,
  readSingleSection,
  type Endpoint,
} from './settings.js';

/** Bounds on what callers make the VM hold. */
export interface MemorySettings {
  /** Unread response bytes of one caller; 0 for no bound, undefined for a share of the process's memory. */
  readonly callerBytes: number | undefined;
  /** For all callers together, in the same way. */
  readonly allCallersBytes: number | undefined;
  /** Time without progress after which a caller is disconnected; 0 for never. */
  readonly callerStallMs: number;
  /** Bytes of the requests of all callers, in the same way. */
  readonly allRequestsBytes: number | undefined;
}

/** The settings of a router process. */
export interface RouterSettings {
  readonly vm: string;
  readonly dataCentre: string;
  /** Address that callers connect to. */
  readonly callers: Endpoint;
  /** Address of the readiness check for the load balancer. */
  readonly ready: Endpoint;
  /** Address for traffic between VMs, over TCP and UDP. */
  readonly peers: Endpoint;
  /** Addresses of other VMs to contact while the store is unavailable. */
  readonly seeds: readonly Endpoint[];
  readonly metrics: Endpoint;
  readonly store: Endpoint;
  /** Whether all VMs are started for the first time. */
  readonly isFirstStart: boolean;
  /** Time from the stop signal until the process is killed, in milliseconds. */
  readonly graceMs: number;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Additional cost that a workspace may use per window beyond its rate and burst. */
  readonly quotaSlack: number;
  /** Window over which the rate of a workspace is measured, in milliseconds. */
  readonly quotaWindowMs: number;
  /** Maximum time until a new configuration is in force, in milliseconds. */
  readonly configApplyMs: number;
  /** Maximum time until a backend server that is leaving gets no new requests, in milliseconds. */
  readonly drainMs: number;
  /**
   * Time for which a VM that has taken over the control of engines waits before its first order,
   * in milliseconds.
   */
  readonly leaseMs: number;
  /** Whether the versions of services and the origins of streams are recorded in the store. */
  readonly recordsOrigins: boolean;
  /** Factor and number of requests by which a second may exceed the rate of a cold server. */
  readonly coldOverage: number;
  readonly coldSlack: number;
  /** Maximum time until an evacuation of a data centre is in force, in milliseconds. */
  readonly evacuateMs: number;
  /** Number of configurations that a VM sends to others at the same time; 0 for any number. */
  readonly configTransfers: number;
  readonly memory: MemorySettings;
  /** Number of descriptors that the process may open; undefined for that of the operating system. */
  readonly descriptors: number | undefined;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  /** Whether streams are placed by free memory alone, or also by the rates of single engines. */
  readonly streamPlacement: 'memory' | 'engine-rates';
  /** Whether VMs tell each other of backend servers that accept no connection. */
  readonly sharesFailures: boolean;
  /** How servers of plain services are chosen: by used slots, or by the expected time of the answer. */
  readonly plainPlacement: 'slots' | 'expected-time';
  /** Maximum number of second attempts for late answers per request; 0 disables them. */
  readonly secondAttemptShare: number;
  /** Whether the streams of all VMs have one order, by priority and workspace. */
  readonly hasStreamClasses: boolean;
}

const decimal = z
  .string()
  .regex(/^\d+(\.\d+)?$/, 'must be a number')
  .transform(Number);

const trueFalse = z
  .enum(['true', 'false'])
  .transform((v) => v === 'true')
  .or(yesNo);

const routerSchema = z.strictObject({
  vm: plainName,
  'data-centre': plainName,
  callers: endpoint,
  ready: endpoint,
  peers: endpoint,
  seeds: endpoints.default([]),
  metrics: endpoint,
  store: endpoint,
  'first-start': trueFalse.default(false),
  'grace-s': decimal.default(8),
  'retry-ratio': decimal.default(0.2),
  'retry-slack': decimal.default(50),
  'retry-window-s': decimal.default(10),
  'quota-slack': decimal.default(0),
  'quota-window-s': decimal.default(8),
  'config-apply-ms': wholeNumber(1, 600_000).default(2_000),
  'drain-ms': wholeNumber(1, 600_000).default(2_000),
  'lease-ms': wholeNumber(1, 600_000).default(3_000),
  'config-transfers': wholeNumber(0, 1_000).default(3),
  'origin-records': trueFalse.default(false),
  'cold-overage': decimal.pipe(z.number().min(1, 'must be at least 1')).default(1.5),
  'cold-slack': decimal.default(5),
  'evacuate-ms': wholeNumber(1, 600_000).default(5_000),
  descriptors: wholeNumber(64).optional(),
  'log-level': z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

/** Maximum share of second attempts: the retry budget of a service allows no more. */
const maxSecondAttemptShare = 0.2;

const placementSchema = z.strictObject({
  streams: z.enum(['memory', 'engine-rates']).default('memory'),
  'share-failures': trueFalse.default(false),
  plain: z.enum(['slots', 'expected-time'], 'must be slots or expected-time').default('slots'),
});

const secondAttemptsSchema = z.strictObject({
  share: decimal
    .pipe(z.number().max(maxSecondAttemptShare, 'must be a number from 0 to 0.2'))
    .default(0),
});

const admissionSchema = z.strictObject({
  classes: z
    .enum(['true', 'false'], 'must be true or false')
    .transform((v) => v === 'true')
    .default(false),
});

const memorySchema = z.strictObject({
  'caller-bytes': wholeNumber(0).optional(),
  'all-callers-bytes': wholeNumber(0).optional(),
  'all-requests-bytes': wholeNumber(0).optional(),
  'caller-stall-ms': wholeNumber(0, 600_000).default(15_000),
});

/** Sections that may be missing. */
const optionalHeaders = ['placement', 'second-attempts', 'admission', 'memory'];

const millisecondsPerSecond = 1_000;

/**
 * Parses and validates the settings of a router process.
 *
 * @example
 * readRouterSettings('[router]').isErr(); // true, and the error lists every missing field
 */
export const readRouterSettings = (text: string): Result<RouterSettings, ConfigError> => {
  const router = readSingleSection(text, 'router', routerSchema, () => [], optionalHeaders);
  const problems: ConfigProblem[] = router.isErr() ? [...router.error.problems] : [];
  const placement = readOptionalSection(text, 'placement', placementSchema, problems);
  const secondAttempts = readOptionalSection(
    text,
    'second-attempts',
    secondAttemptsSchema,
    problems,
  );
  const admission = readOptionalSection(text, 'admission', admissionSchema, problems);
  const memory = readOptionalSection(text, 'memory', memorySchema, problems);
  if (router.isErr() || !placement || !secondAttempts || !admission || !memory)
    return err(new ConfigError(problems));
  const values = router.value;
  return ok({
    vm: values.vm,
    dataCentre: values['data-centre'],
    callers: values.callers,
    ready: values.ready,
    peers: values.peers,
    seeds: values.seeds,
    metrics: values.metrics,
    store: values.store,
    isFirstStart: values['first-start'],
    graceMs: values['grace-s'] * millisecondsPerSecond,
    retryRatio: values['retry-ratio'],
    retrySlack: values['retry-slack'],
    retryWindowMs: values['retry-window-s'] * millisecondsPerSecond,
    quotaSlack: values['quota-slack'],
    quotaWindowMs: values['quota-window-s'] * millisecondsPerSecond,
    configApplyMs: values['config-apply-ms'],
    drainMs: values['drain-ms'],
    leaseMs: values['lease-ms'],
    configTransfers: values['config-transfers'],
    memory: {
      callerBytes: memory['caller-bytes'],
      allCallersBytes: memory['all-callers-bytes'],
      callerStallMs: memory['caller-stall-ms'],
      allRequestsBytes: memory['all-requests-bytes'],
    },
    descriptors: values.descriptors,
    recordsOrigins: values['origin-records'],
    coldOverage: values['cold-overage'],
    coldSlack: values['cold-slack'],
    evacuateMs: values['evacuate-ms'],
    logLevel: values['log-level'],
    streamPlacement: placement.streams,
    sharesFailures: placement['share-failures'],
    plainPlacement: placement.plain,
    secondAttemptShare: secondAttempts.share,
    hasStreamClasses: admission.classes,
  });
};
