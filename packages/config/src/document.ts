import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { ConfigError, type ConfigProblem } from '@hemlocksill/errors/config-errors.js';
import type {
  BackendServer,
  ConfigDocument,
  Limits,
  Pool,
  ServiceRoute,
  Workspace,
} from '@hemlocksill/types/config-document.js';
import { checkSection, ipUrl, plainName, fraction, wholeNumber, yesNo } from './check-section.js';
import { readIniSections, type IniSection } from './ini-lines.js';

const milliseconds = wholeNumber(1, 86_400_000);

const limitsSchema = z.strictObject({
  'max-body-bytes': wholeNumber(1_024, 64 * 1_024 * 1_024).default(1_048_576),
  'max-request-ms': milliseconds.default(120_000),
  'urgent-rate-wait-ms': wholeNumber(0, 60_000).default(200),
  'patient-rate-wait-ms': wholeNumber(0, 600_000).default(5_000),
  'claim-retention-ms': milliseconds.default(900_000),
  'drain-ms': milliseconds.default(150_000),
});

const workspaceSchema = z.strictObject({
  rate: wholeNumber(1),
  burst: wholeNumber(1),
  weight: wholeNumber(1, 1_000).default(1),
});

const poolSchema = z.strictObject({
  version: plainName,
  'piece-tokens': wholeNumber(16, 65_536).default(2_048),
  slots: wholeNumber(1, 1_024).default(20),
  'prefill-rate': wholeNumber(1),
  'patient-share': fraction.default(0.3),
  'max-prompt-tokens': wholeNumber(1).default(100_000),
  'max-output-tokens': wholeNumber(1).default(4_096),
  'urgent-first-token-ms': milliseconds,
  'urgent-between-tokens-ms': milliseconds,
  'patient-first-token-ms': milliseconds,
  'patient-between-tokens-ms': milliseconds,
});

const backendSchema = z.strictObject({
  role: z.enum(['prefill', 'decode', 'service'], 'must be prefill, decode or service'),
  model: plainName.default(''),
  service: plainName.default(''),
  url: ipUrl,
  'data-centre': plainName,
  fencing: yesNo.default(false),
});

const routeSchema = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE'], 'must be an HTTP method'),
  path: z.string().regex(/^(\/(:?[A-Za-z0-9_.-]+))+$/, 'must be a path such as /orders/:id'),
  service: plainName,
  class: z.enum(['urgent', 'patient'], 'must be urgent or patient'),
  idempotent: yesNo,
  open: yesNo.default(false),
  cost: wholeNumber(0).default(1),
  'timeout-ms': milliseconds.default(5_000),
});

/** Results of the sections read so far. */
interface DocumentDraft {
  limits: Limits | undefined;
  workspaces: Map<string, Workspace>;
  pools: Map<string, Pool>;
  backendServers: Map<string, BackendServer>;
  routes: ServiceRoute[];
  problems: ConfigProblem[];
}

const assembleLimits = (values: z.output<typeof limitsSchema>): Limits => ({
  maxBodyBytes: values['max-body-bytes'],
  maxRequestMs: values['max-request-ms'],
  urgentRateWaitMs: values['urgent-rate-wait-ms'],
  patientRateWaitMs: values['patient-rate-wait-ms'],
  claimRetentionMs: values['claim-retention-ms'],
  drainMs: values['drain-ms'],
});

const assemblePool = (model: string, values: z.output<typeof poolSchema>): Pool => ({
  model,
  version: values.version,
  pieceTokens: values['piece-tokens'],
  slots: values.slots,
  prefillRate: values['prefill-rate'],
  patientShare: values['patient-share'],
  maxPromptTokens: values['max-prompt-tokens'],
  maxOutputTokens: values['max-output-tokens'],
  urgent: {
    firstTokenMs: values['urgent-first-token-ms'],
    betweenTokensMs: values['urgent-between-tokens-ms'],
  },
  patient: {
    firstTokenMs: values['patient-first-token-ms'],
    betweenTokensMs: values['patient-between-tokens-ms'],
  },
});

type SectionReader = (draft: DocumentDraft, section: IniSection, name: string) => void;

const sectionReaders: Record<string, SectionReader> = {
  limits: (draft, section) => {
    const values = checkSection(section, limitsSchema, draft.problems);
    if (values) draft.limits = assembleLimits(values);
  },
  workspace: (draft, section, name) => {
    const values = checkSection(section, workspaceSchema, draft.problems);
    if (values) draft.workspaces.set(name, { name, ...values });
  },
  pool: (draft, section, name) => {
    const values = checkSection(section, poolSchema, draft.problems);
    if (values) draft.pools.set(name, assemblePool(name, values));
  },
  'backend-server': (draft, section, name) => {
    const values = checkSection(section, backendSchema, draft.problems);
    if (!values) return;
    const { 'data-centre': dataCentre, ...fields } = values;
    draft.backendServers.set(name, { name, dataCentre, ...fields });
  },
  route: (draft, section, name) => {
    const values = checkSection(section, routeSchema, draft.problems);
    if (!values) return;
    const { 'timeout-ms': timeoutMs, ...fields } = values;
    draft.routes.push({ name, timeoutMs, ...fields });
  },
};

const readSection = (draft: DocumentDraft, section: IniSection): void => {
  const [kind = '', name = '', ...extraWords] = section.header.split(' ');
  const reader = sectionReaders[kind];
  const addProblem = (reason: string) =>
    draft.problems.push({ line: section.line, field: section.header, reason });
  if (!reader) addProblem('unknown section');
  else if (extraWords.length > 0) addProblem('expected one name after the kind of section');
  else if (kind === 'limits' && name !== '') addProblem('takes no name');
  else if (kind !== 'limits' && !plainName.safeParse(name).success)
    addProblem('name missing or not valid');
  else reader(draft, section, name);
};

const checkBackendServer = (draft: DocumentDraft, server: BackendServer): string | undefined => {
  if (server.role === 'service')
    return server.service === '' ? 'a service needs the field service' : undefined;
  if (!draft.pools.has(server.model)) return `no pool for model "${server.model}"`;
  return undefined;
};

const checkReferences = (draft: DocumentDraft, sections: readonly IniSection[]): void => {
  const findLine = (header: string) => sections.find((s) => s.header === header)?.line ?? 0;
  const addProblem = (header: string, reason: string) =>
    draft.problems.push({ line: findLine(header), field: header, reason });
  const { limits } = draft;
  if (limits && limits.drainMs < limits.maxRequestMs)
    addProblem('limits', 'drain-ms must not be less than max-request-ms, or upgrades cut requests');
  const urls = new Map<string, string>();
  const services = new Set<string>();
  draft.backendServers.forEach((server) => {
    const header = `backend-server ${server.name}`;
    const reason = checkBackendServer(draft, server);
    if (reason !== undefined) addProblem(header, reason);
    const existingName = urls.get(server.url);
    if (existingName !== undefined) addProblem(header, `has the same url as "${existingName}"`);
    urls.set(server.url, server.name);
    if (server.role === 'service') services.add(server.service);
  });
  const paths = new Map<string, string>();
  draft.routes.forEach((route) => {
    const pattern = `${route.method} ${route.path.replace(/:[^/]+/g, ':')}`;
    const existingName = paths.get(pattern);
    if (existingName !== undefined)
      addProblem(`route ${route.name}`, `matches the same calls as "${existingName}"`);
    paths.set(pattern, route.name);
    if (!services.has(route.service))
      addProblem(`route ${route.name}`, `no backend server runs service "${route.service}"`);
    if (route.path.startsWith('/v1/') || route.path.startsWith('/hemlocksill/'))
      addProblem(`route ${route.name}`, 'paths below /v1 and /hemlocksill are taken');
  });
};

/**
 * Parses and validates a configuration document; the error lists every problem found.
 *
 * @example
 * readDocument('[workspace forge]\nrate = 100\nburst = 1000').isOk(); // true
 */
export const readDocument = (text: string): Result<ConfigDocument, ConfigError> => {
  const { sections, problems } = readIniSections(text);
  const draft: DocumentDraft = {
    limits: undefined,
    workspaces: new Map(),
    pools: new Map(),
    backendServers: new Map(),
    routes: [],
    problems: [...problems],
  };
  sections.forEach((section) => readSection(draft, section));
  checkReferences(draft, sections);
  if (draft.problems.length > 0)
    return err(new ConfigError([...draft.problems].sort((a, b) => a.line - b.line)));
  const limits = draft.limits ?? assembleLimits(limitsSchema.parse({}));
  return ok({
    limits,
    workspaces: draft.workspaces,
    pools: draft.pools,
    backendServers: draft.backendServers,
    routes: draft.routes,
  });
};
