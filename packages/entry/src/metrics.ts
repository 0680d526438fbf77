import { StatsD } from 'hot-shots';

/** All metrics; docs/OPERATIONS.md lists their units. */
export const metricCatalogue = {
  'requests.ended': 'counter',
  'requests.refused': 'counter',
  'requests.open': 'gauge',
  'first_token.ms': 'timing',
  'between_tokens.ms': 'timing',
  'tokens.prompt': 'counter',
  'tokens.output': 'counter',
  'prefill.wasted_tokens': 'counter',
  'store.calls': 'counter',
  'peer.bytes': 'counter',
  'rate.shards': 'gauge',
  'revision.in_force': 'gauge',
  'proof.age_ms': 'gauge',
  'pool.queued': 'gauge',
  'orphans.cancelled': 'counter',
} as const satisfies Record<string, 'counter' | 'gauge' | 'timing'>;

/** Name of a metric in the catalogue. */
export type MetricName = keyof typeof metricCatalogue;

/** Emits one value of a metric with its tags. */
export type EmitMetric = (
  name: MetricName,
  value: number,
  tags?: Readonly<Record<string, string>>,
) => void;

/** Creates a StatsD client; without an address, metrics are discarded. */
export const makeMetrics = (
  address: { readonly host: string; readonly port: number } | undefined,
  onError: (error: Error) => void,
): { emit: EmitMetric; close: () => void } => {
  if (!address) return { emit: () => {}, close: () => {} };
  const client = new StatsD({
    host: address.host,
    port: address.port,
    prefix: 'hemlocksill.',
    maxBufferSize: 1_200,
    bufferFlushInterval: 1_000,
    errorHandler: onError,
  });
  return {
    emit: (name, value, tags) => {
      const kind = metricCatalogue[name];
      if (kind === 'counter') client.increment(name, value, tags);
      else if (kind === 'gauge') client.gauge(name, value, tags);
      else client.timing(name, value, tags);
    },
    close: () => client.close(),
  };
};
