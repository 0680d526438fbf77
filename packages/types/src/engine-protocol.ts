/** A request to a prefill engine to process a prompt. */
export interface EngineStart {
  readonly id: string;
  /** Incarnation (process run) of the VM that serves the caller. */
  readonly owner: string;
  readonly workspace: string;
  readonly prompt: string;
  readonly promptTokens: number;
  /** Digests of the prompt's pieces; each digest also covers all earlier pieces. */
  readonly pieces: readonly string[];
  readonly urgent: boolean;
}

/** A request to a decode engine to generate tokens from a prefill's result. */
export interface DecodeStart extends EngineStart {
  /** Base URL of the prefill engine that holds the KV cache of the prompt. */
  readonly kvFrom: string;
  readonly maxTokens: number;
}
