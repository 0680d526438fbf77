import type { Deployment } from '../deployment.js';
import type { SeededRandom } from '../seeded-random.js';

/** One call of a load run. */
export interface Arrival {
  /** Milliseconds from the start of the run. */
  readonly offsetMs: number;
  readonly kind: 'completion' | 'read' | 'write';
  readonly workspace: string;
  readonly urgent: boolean;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Length of the prefix shared with other prompts about the same document, in tokens. */
  readonly sharedTokens: number;
  /** Document that the prompt is about. */
  readonly documentId: number;
}

/** Options of the load that a run sends. */
export interface LoadOptions {
  /** Offered load as a share of the pools' capacity. */
  readonly loadFactor: number;
  readonly durationMs: number;
  /** Factor on the load of the flooding workspace; 1 means no flood. */
  readonly floodFactor: number;
}

const urgentShare = 0.3;
const serviceCallsPerCompletion = 0.5;
const writeShare = 0.3;
const documentsPerWorkspace = 12;
const charactersPerToken = 4;

/** Tokens per second of one decode engine with all its slots in use. */
export const getMaxDecodeRate = (
  slots: number,
  tokenMs: number,
  tokenMsPerStream: number,
): number => (slots * 1_000) / (tokenMs + tokenMsPerStream * (slots - 1));

/** Mean number of tokens of one completion. */
export const meanCompletionCost = { promptTokens: 3_400, outputTokens: 190 } as const;

/** Completions per second at which the first of the two pools is saturated. */
export const getMaxCompletionRate = (deployment: Deployment): number => {
  const maxPrefillCompletions =
    (deployment.prefillCount * 20_000) / meanCompletionCost.promptTokens;
  const maxDecodeCompletions =
    (deployment.decodeCount * getMaxDecodeRate(20, 12, 0.6)) / meanCompletionCost.outputTokens;
  return Math.min(maxPrefillCompletions, maxDecodeCompletions);
};

const samplePatientSize = (random: SeededRandom) => {
  const isLong = random.next() < 0.25;
  const promptTokens = isLong ? random.integer(8_000, 14_000) : random.integer(1_500, 6_000);
  // Several prompts ask about the same document and start with its complete text.
  const sharedTokens = Math.floor(promptTokens * (random.next() < 0.3 ? 0.9 : 0));
  return { promptTokens, sharedTokens, outputTokens: random.integer(120, 380) };
};

const sampleUrgentSize = (random: SeededRandom) => ({
  promptTokens: random.integer(40, 400),
  sharedTokens: 0,
  outputTokens: random.integer(20, 100),
});

const pickWeighted = (
  random: SeededRandom,
  weightedNames: readonly (readonly [string, number])[],
): string => {
  const total = weightedNames.reduce((sum, [, weight]) => sum + weight, 0);
  let remaining = random.next() * total;
  const picked = weightedNames.find(([, weight]) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (picked ?? weightedNames[0])?.[0] ?? '';
};

/** Generates the arrivals of a run; the same seed gives the same arrivals. */
export const assembleArrivals = (
  deployment: Deployment,
  random: SeededRandom,
  opts: LoadOptions,
): Arrival[] => {
  const completionsPerSecond = getMaxCompletionRate(deployment) * opts.loadFactor;
  const floodingWorkspace = deployment.workspaces[1]?.[0] ?? '';
  const weightedWorkspaces = deployment.workspaces.map(([name, rate]) => [name, rate] as const);
  const floodingWorkspaceShare =
    (deployment.workspaces[1]?.[1] ?? 0) /
    deployment.workspaces.reduce((sum, [, rate]) => sum + rate, 0);
  const arrivals: Arrival[] = [];
  const addArrivals = (offsetMs: number, workspace: string): void => {
    const urgent = random.next() < urgentShare;
    const size = urgent ? sampleUrgentSize(random) : samplePatientSize(random);
    const documentId = random.integer(1, documentsPerWorkspace);
    arrivals.push({ offsetMs, kind: 'completion', workspace, urgent, documentId, ...size });
    if (random.next() >= serviceCallsPerCompletion) return;
    const kind = random.next() < writeShare ? 'write' : 'read';
    arrivals.push({
      offsetMs: offsetMs + random.integer(0, 100),
      kind,
      workspace,
      urgent: true,
      promptTokens: 0,
      outputTokens: 0,
      sharedTokens: 0,
      documentId: 0,
    });
  };
  for (
    let offsetMs = 0;
    offsetMs < opts.durationMs;
    offsetMs += random.exponential(1_000 / completionsPerSecond)
  )
    addArrivals(offsetMs, pickWeighted(random, weightedWorkspaces));
  const extraPerSecond = completionsPerSecond * floodingWorkspaceShare * (opts.floodFactor - 1);
  if (extraPerSecond > 0)
    for (
      let offsetMs = 0;
      offsetMs < opts.durationMs;
      offsetMs += random.exponential(1_000 / extraPerSecond)
    )
      addArrivals(offsetMs, floodingWorkspace);
  return arrivals.sort((a, b) => a.offsetMs - b.offsetMs);
};

/** Assembles a prompt of the arrival's size; prompts about the same document share a prefix. */
export const assemblePrompt = (arrival: Arrival, sequence: number): string => {
  const { promptTokens, sharedTokens, outputTokens, workspace, documentId } = arrival;
  const header = `tokens=${outputTokens} `;
  const documentText = `drawing ${documentId} of ${workspace} `.repeat(
    Math.ceil((sharedTokens * charactersPerToken) / 20),
  );
  const question = ` question ${sequence} `.repeat(
    Math.ceil((promptTokens * charactersPerToken) / 12),
  );
  const sharedText =
    sharedTokens > 0 ? documentText.slice(0, sharedTokens * charactersPerToken) : '';
  return (header.padEnd(16) + sharedText + question).slice(0, promptTokens * charactersPerToken);
};
