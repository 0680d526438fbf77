import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { ConfigError, type ConfigProblem } from '@hemlocksill/errors/config-errors.js';
import { checkSection, ipUrl, plainName, wholeNumber, yesNo } from './check-section.js';
import { readIniSections, type IniSection } from './ini-lines.js';

/** An IP address and a port. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Settings that the entry process and the command line share. */
export interface CommonSettings {
  readonly environment: string;
  readonly storeUrls: readonly string[];
  /** Secrets of operators: the first one signs, and all of them are accepted. */
  readonly operatorSecrets: readonly string[];
}

/** The settings of an entry process. */
export interface EntrySettings extends CommonSettings {
  readonly vm: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly callers: Endpoint;
  readonly peers: Endpoint;
  readonly operators: Endpoint;
  /** Secrets shared by the VMs: the first one signs, and all of them are accepted. */
  readonly peerSecrets: readonly string[];
  /** Addresses of peers to contact while no member is known, as at a start during a store outage. */
  readonly seeds: readonly Endpoint[];
  readonly logLevel: 'trace' | 'debug' | 'info' | 'warn' | 'error';
  /** Address that metrics are sent to over UDP; undefined when metrics are disabled. */
  readonly statsd: Endpoint | undefined;
  /** Certificate and key files of the callers' TLS listener; undefined without TLS. */
  readonly tls: { readonly certFile: string; readonly keyFile: string } | undefined;
  /** Time after which a shutdown aborts open requests, in milliseconds. */
  readonly shutdownMs: number;
  /** Time to keep accepting requests after reporting not ready, in milliseconds. */
  readonly lameDuckMs: number;
}

/** The settings of the operators' command line. */
export interface OperatorSettings extends CommonSettings {
  /** CA certificate file to verify the VMs' certificates; undefined without TLS. */
  readonly tlsCaFile: string | undefined;
}

const splitList = (text: string): string[] =>
  text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== '');

const parseEndpoint = (text: string): Endpoint | undefined => {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-f:]+\]):(\d{1,5})$/.exec(text);
  const port = Number(match?.[2]);
  if (!match?.[1] || port > 65_535) return undefined;
  return { host: match[1].replace(/[[\]]/g, ''), port };
};

/** Schema of an address written as `IP:port`. */
export const endpoint = z.string().transform((text, ctx) => {
  const parsed = parseEndpoint(text);
  if (parsed) return parsed;
  ctx.addIssue({ code: 'custom', message: 'must be IP:port' });
  return z.NEVER;
});

/** Schema of a comma-separated list of addresses. */
export const endpoints = z.string().transform((text, ctx) => {
  const parsed = splitList(text).map(parseEndpoint);
  if (parsed.every((p) => p !== undefined)) return parsed;
  ctx.addIssue({ code: 'custom', message: 'must be a list of IP:port' });
  return z.NEVER;
});

const secrets = z
  .string()
  .transform(splitList)
  .pipe(z.array(z.string().min(16, 'must have at least 16 characters')).min(1));

const storeUrls = z.string().transform(splitList).pipe(z.array(ipUrl).min(1));

const commonSchema = z.strictObject({
  environment: plainName,
  stores: storeUrls,
  'operator-secrets': secrets,
});

const operatorSchema = commonSchema.extend({ 'tls-ca': z.string().optional() });

const logLevels = ['trace', 'debug', 'info', 'warn', 'error'] as const;

const entrySchema = commonSchema.extend({
  vm: plainName,
  'data-centre': plainName,
  region: plainName,
  callers: endpoint,
  peers: endpoint,
  operators: endpoint,
  'peer-secrets': secrets,
  seeds: endpoints.default([]),
  'log-level': z.enum(logLevels).default('info'),
  statsd: endpoint.optional(),
  'tls-cert': z.string().optional(),
  'tls-key': z.string().optional(),
  'listen-on-all': yesNo.default(false),
  'shutdown-ms': wholeNumber(0, 3_600_000).default(150_000),
  'lame-duck-ms': wholeNumber(0, 600_000).default(5_000),
});

type EntryValues = z.output<typeof entrySchema>;

const assembleEntrySettings = (values: EntryValues): EntrySettings => ({
  environment: values.environment,
  storeUrls: values.stores,
  operatorSecrets: values['operator-secrets'],
  vm: values.vm,
  dataCentre: values['data-centre'],
  region: values.region,
  callers: values.callers,
  peers: values.peers,
  operators: values.operators,
  peerSecrets: values['peer-secrets'],
  seeds: values.seeds,
  logLevel: values['log-level'],
  statsd: values.statsd,
  tls:
    values['tls-cert'] !== undefined && values['tls-key'] !== undefined
      ? { certFile: values['tls-cert'], keyFile: values['tls-key'] }
      : undefined,
  shutdownMs: values['shutdown-ms'],
  lameDuckMs: values['lame-duck-ms'],
});

const checkEntryValues = (values: EntryValues): string[] => {
  const reasons: string[] = [];
  const listensOnAll = [values.callers, values.peers, values.operators].some(
    (e) => e.host === '0.0.0.0' || e.host === '::',
  );
  if (listensOnAll && !values['listen-on-all'])
    reasons.push('listening on all addresses needs listen-on-all = yes');
  if ((values['tls-cert'] === undefined) !== (values['tls-key'] === undefined))
    reasons.push('tls-cert and tls-key must be given together');
  return reasons;
};

/** Parses and validates a text with one section, beside others that are read on their own. */
export const readSingleSection = <T>(
  text: string,
  header: string,
  schema: z.ZodType<T>,
  check: (values: T) => string[],
  otherHeaders: readonly string[] = [],
): Result<T, ConfigError> => {
  const { sections, problems } = readIniSections(text);
  const allProblems: ConfigProblem[] = [...problems];
  sections
    .filter((s) => s.header !== header && !otherHeaders.includes(s.header))
    .forEach((s) => allProblems.push({ line: s.line, field: s.header, reason: 'unknown section' }));
  const section: IniSection | undefined = sections.find((s) => s.header === header);
  if (!section) allProblems.push({ line: 0, field: header, reason: 'section missing' });
  const values = section && checkSection(section, schema, allProblems);
  if (values !== undefined)
    check(values).forEach((reason) =>
      allProblems.push({ line: section?.line ?? 0, field: header, reason }),
    );
  if (values === undefined || allProblems.length > 0) return err(new ConfigError(allProblems));
  return ok(values);
};

/** Validates a section that may be absent, beside a single one; absent fields get their default values. */
export const readOptionalSection = <T>(
  text: string,
  header: string,
  schema: z.ZodType<T>,
): Result<T, ConfigError> => {
  const { sections } = readIniSections(text);
  const absent: IniSection = { header, line: 0, values: {}, lines: {} };
  const problems: ConfigProblem[] = [];
  const values = checkSection(
    sections.find((s) => s.header === header) ?? absent,
    schema,
    problems,
  );
  return values === undefined ? err(new ConfigError(problems)) : ok(values);
};

/**
 * Parses and validates the settings of an entry process.
 *
 * @example
 * readEntrySettings('[entry]').isErr(); // true, and the error lists every missing field
 */
export const readEntrySettings = (text: string): Result<EntrySettings, ConfigError> =>
  readSingleSection(text, 'entry', entrySchema, checkEntryValues).map(assembleEntrySettings);

/**
 * Parses and validates the settings of the operators' command line.
 *
 * @example
 * readOperatorSettings('[operator]\nenvironment = trial').isErr(); // true
 */
export const readOperatorSettings = (text: string): Result<OperatorSettings, ConfigError> =>
  readSingleSection(text, 'operator', operatorSchema, () => []).map((values) => ({
    environment: values.environment,
    storeUrls: values.stores,
    operatorSecrets: values['operator-secrets'],
    tlsCaFile: values['tls-ca'],
  }));
