/** One mistake in a configuration document or settings file. */
export interface ConfigProblem {
  /** Line in the file, from 1; 0 when no single line is at fault. */
  readonly line: number;
  /** Section and field, for example `workspace forge.rate`. */
  readonly field: string;
  readonly reason: string;
}

/** All mistakes of one configuration text. */
export class ConfigError extends Error {
  constructor(readonly problems: readonly ConfigProblem[]) {
    super(problems.map((p) => `line ${p.line}: ${p.field}: ${p.reason}`).join('\n'));
    this.name = 'ConfigError';
  }
}
