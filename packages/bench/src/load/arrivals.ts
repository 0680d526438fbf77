import type { Deployment } from '../deployment.js';
import type { SeededRandom } from '../seeded-random.js';

/** One call of a load run. */
export interface Arrival {
  /** Milliseconds from the start of the run. */
  readonly at: number;
  readonly kind: 'completion' | 'read' | 'write';
  readonly workspace: string;
  readonly urgent: boolean;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Tokens that the prompt shares with others of the same document. */
  readonly sharedTokens: number;
  /** Which document the prompt is about. */
  readonly documentId: number;
}

/** What a load run sends. */
export interface LoadOptions {
  /** Share of what the pools can serve. */
  readonly loadFactor: number;
  readonly durationMs: number;
  /** Times its rate that the flooding workspace sends; 1 is no flood. */
  readonly floodFactor: number;
}

const urgentShare = 0.3;
const servicePerCompletion = 0.5;
const writeShare = 0.3;
const documentsPerWorkspace = 12;
const charactersPerToken = 4;

/** Tokens per second of one decode engine when all its slots are taken. */
export const fullDecodeRate = (slots: number, tokenMs: number, perStreamMs: number): number =>
  (slots * 1_000) / (tokenMs + perStreamMs * (slots - 1));

/** Mean tokens that one completion costs the pools. */
export const meanCosts = { promptTokens: 3_400, outputTokens: 190 } as const;

/** Completions per second at which the scarcer pool is full. */
export const getFullRate = (d: Deployment): number => {
  const prefill = (d.prefillCount * 20_000) / meanCosts.promptTokens;
  const decode = (d.decodeCount * fullDecodeRate(20, 12, 0.6)) / meanCosts.outputTokens;
  return Math.min(prefill, decode);
};

const drawPatient = (random: SeededRandom) => {
  const long = random.next() < 0.25;
  const promptTokens = long ? random.integer(8_000, 14_000) : random.integer(1_500, 6_000);
  // A drawing is asked about more than once, with its whole text in front.
  const sharedTokens = Math.floor(promptTokens * (random.next() < 0.3 ? 0.9 : 0));
  return { promptTokens, sharedTokens, outputTokens: random.integer(120, 380) };
};

const drawUrgent = (random: SeededRandom) => ({
  promptTokens: random.integer(40, 400),
  sharedTokens: 0,
  outputTokens: random.integer(20, 100),
});

const pickWeighted = (
  random: SeededRandom,
  weighted: readonly (readonly [string, number])[],
): string => {
  const total = weighted.reduce((sum, [, w]) => sum + w, 0);
  let left = random.next() * total;
  const found = weighted.find(([, w]) => {
    left -= w;
    return left < 0;
  });
  return (found ?? weighted[0])?.[0] ?? '';
};

/** Assembles the arrivals of a run; the same seed gives the same arrivals. */
export const assembleArrivals = (
  d: Deployment,
  random: SeededRandom,
  opts: LoadOptions,
): Arrival[] => {
  const perSecond = getFullRate(d) * opts.loadFactor;
  const flooder = d.workspaces[1]?.[0] ?? '';
  const usual = d.workspaces.map(([name, rate]) => [name, rate] as const);
  const flooderShare =
    (d.workspaces[1]?.[1] ?? 0) / d.workspaces.reduce((sum, [, rate]) => sum + rate, 0);
  const arrivals: Arrival[] = [];
  const add = (at: number, workspace: string): void => {
    const urgent = random.next() < urgentShare;
    const drawn = urgent ? drawUrgent(random) : drawPatient(random);
    const documentId = random.integer(1, documentsPerWorkspace);
    arrivals.push({ at, kind: 'completion', workspace, urgent, documentId, ...drawn });
    if (random.next() >= servicePerCompletion) return;
    const kind = random.next() < writeShare ? 'write' : 'read';
    arrivals.push({
      at: at + random.integer(0, 100),
      kind,
      workspace,
      urgent: true,
      promptTokens: 0,
      outputTokens: 0,
      sharedTokens: 0,
      documentId: 0,
    });
  };
  for (let at = 0; at < opts.durationMs; at += random.exponential(1_000 / perSecond))
    add(at, pickWeighted(random, usual));
  const extra = perSecond * flooderShare * (opts.floodFactor - 1);
  if (extra > 0)
    for (let at = 0; at < opts.durationMs; at += random.exponential(1_000 / extra))
      add(at, flooder);
  return arrivals.sort((a, b) => a.at - b.at);
};

/** Assembles a prompt of the arrival's size, equal in front for the same document. */
export const assemblePrompt = (arrival: Arrival, sequence: number): string => {
  const { promptTokens, sharedTokens, outputTokens, workspace, documentId } = arrival;
  const document = `tokens=${outputTokens} `;
  const shared = `drawing ${documentId} of ${workspace} `.repeat(
    Math.ceil((sharedTokens * charactersPerToken) / 20),
  );
  const own = ` question ${sequence} `.repeat(Math.ceil((promptTokens * charactersPerToken) / 12));
  const head = sharedTokens > 0 ? shared.slice(0, sharedTokens * charactersPerToken) : '';
  return (document.padEnd(16) + head + own).slice(0, promptTokens * charactersPerToken);
};
