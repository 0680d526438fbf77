/** One validation error in a configuration document or settings file. */
export interface ConfigProblem {
  /** Line number, starting at 1; 0 when the error does not belong to a single line. */
  readonly line: number;
  /** Section and field, for example `workspace forge.rate`. */
  readonly field: string;
  readonly reason: string;
}

/** Reports every validation error of one configuration text. */
export class ConfigError extends Error {
  constructor(readonly problems: readonly ConfigProblem[]) {
    super(problems.map((p) => `line ${p.line}: ${p.field}: ${p.reason}`).join('\n'));
    this.name = 'ConfigError';
  }
}
