import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Upper bounds of the latency buckets, in milliseconds, chosen around the usual objectives. */
const latencyBucketsMs = [10, 25, 50, 100, 200, 400, 900, 2_000, 5_000, 14_000];

/** Upper bounds of the buckets of the event loop's delay, in milliseconds. */
const loopDelayBucketsMs = [5, 25, 100, 250, 500, 2_000];

/** Metrics of a router. */
export interface RouterMetrics {
  readonly requestsEnded: Counter<'kind' | 'outcome'>;
  readonly firstByteMs: Histogram<'kind'>;
  readonly retries: Counter<'reason'>;
  readonly wastedPromptTokens: Counter;
  readonly blockedRequests: Counter;
  readonly limitedServers: Gauge;
  readonly coldServers: Gauge;
  readonly evacuatedDataCentres: Gauge;
  readonly limitDecisions: Counter<'decision'>;
  readonly engineRateSpread: Gauge;
  readonly originStoreCalls: Counter<'call' | 'outcome'>;
  readonly resumedStreams: Counter<'source'>;
  readonly plainDecisions: Counter<'decision'>;
  readonly secondAttempts: Counter<'outcome' | 'reason'>;
  readonly refusedStreams: Counter<'priority' | 'before'>;
  readonly openRequests: Gauge;
  readonly unreadBytes: Gauge;
  readonly gatheredBytes: Gauge;
  readonly stalledCallers: Counter;
  readonly callerConnections: Gauge;
  readonly callerLimits: Counter<'limit'>;
  readonly requestBytes: Gauge;
  readonly waitingStreams: Gauge;
  readonly configVersion: Gauge;
  readonly configBehindMs: Gauge;
  readonly viewFetches: Counter<'outcome'>;
  readonly storeReachable: Gauge;
  readonly loopDelayMs: Histogram;
  readonly heapBytes: Gauge;
  readonly answerBytes: Counter<'part'>;
  readonly answerPieces: Counter;
  readonly answerReadMs: Counter;
  readonly answerLongestReadMs: Histogram;
  readonly partitioned: Gauge;
  readonly serverTunnels: Gauge;
  readonly droppedLogLines: Counter;
  /** Renders all metrics in the Prometheus text format. */
  readonly render: () => Promise<string>;
}

/**
 * Makes the metrics of a process in a separate registry; docs/OPERATIONS.md lists them.
 *
 * @example
 * makeRouterMetrics().requestsEnded.inc({ kind: 'stream', outcome: 'answered' });
 */
export const makeRouterMetrics = (): RouterMetrics => {
  const registry = new Registry();
  const registers = [registry];
  const prefix = 'hemlocksill_';
  return {
    requestsEnded: new Counter({
      name: `${prefix}requests_total`,
      help: 'Requests that ended, by kind and outcome',
      labelNames: ['kind', 'outcome'],
      registers,
    }),
    firstByteMs: new Histogram({
      name: `${prefix}first_byte_ms`,
      help: 'Milliseconds from arrival to the first byte of the answer',
      labelNames: ['kind'],
      buckets: latencyBucketsMs,
      registers,
    }),
    retries: new Counter({
      name: `${prefix}repeated_sends_total`,
      help: 'Sends beyond the first of a request',
      labelNames: ['reason'],
      registers,
    }),
    wastedPromptTokens: new Counter({
      name: `${prefix}wasted_prompt_tokens_total`,
      help: 'Prompt tokens read for a request that did not run',
      registers,
    }),
    blockedRequests: new Counter({
      name: `${prefix}blocked_requests_total`,
      help: 'Requests refused because backend servers crash on them',
      registers,
    }),
    limitedServers: new Gauge({
      name: `${prefix}limited_servers`,
      help: 'Backend servers that name a limit on their requests',
      registers,
    }),
    coldServers: new Gauge({
      name: `${prefix}cold_servers`,
      help: 'Backend servers that are cold or ramped up after the return of their data centre',
      registers,
    }),
    evacuatedDataCentres: new Gauge({
      name: `${prefix}evacuated_data_centres`,
      help: 'Data centres that are evacuated',
      registers,
    }),
    limitDecisions: new Counter({
      name: `${prefix}limit_decisions_total`,
      help: 'Servers passed over, requests queued and refused because of the limits of servers',
      labelNames: ['decision'],
      registers,
    }),
    engineRateSpread: new Gauge({
      name: `${prefix}engine_rate_spread`,
      help: 'Fastest known output rate of the decode engines of a service, divided by the slowest',
      registers,
    }),
    originStoreCalls: new Counter({
      name: `${prefix}origin_store_calls_total`,
      help: 'Calls to the store about software versions and origins of streams',
      labelNames: ['call', 'outcome'],
      registers,
    }),
    resumedStreams: new Counter({
      name: `${prefix}resumed_streams_total`,
      help: 'Streams that callers took up, by the source of their software version',
      labelNames: ['source'],
      registers,
    }),
    plainDecisions: new Counter({
      name: `${prefix}plain_decisions_total`,
      help: 'Choices of servers for plain requests by expected time: near, far, or all late',
      labelNames: ['decision'],
      registers,
    }),
    secondAttempts: new Counter({
      name: `${prefix}second_attempts_total`,
      help: 'Second attempts for late answers: sent, won, cancelled, or withheld and why',
      labelNames: ['outcome', 'reason'],
      registers,
    }),
    refusedStreams: new Counter({
      name: `${prefix}refused_streams_total`,
      help: 'Streams refused for lack of memory while classes are in force, and whether their caller was refused before',
      labelNames: ['priority', 'before'],
      registers,
    }),
    openRequests: new Gauge({
      name: `${prefix}open_requests`,
      help: 'Requests in progress',
      registers,
    }),
    unreadBytes: new Gauge({
      name: `${prefix}unread_bytes`,
      help: 'Bytes of responses that callers have not read',
      registers,
    }),
    gatheredBytes: new Gauge({
      name: `${prefix}gathered_bytes`,
      help: 'Bytes that answers of application servers hold until they are whole',
      registers,
    }),
    stalledCallers: new Counter({
      name: `${prefix}stalled_callers_total`,
      help: 'Callers disconnected because they did not read their response',
      registers,
    }),
    callerConnections: new Gauge({
      name: `${prefix}caller_connections`,
      help: 'Open connections of callers',
      registers,
    }),
    callerLimits: new Counter({
      name: `${prefix}caller_limits_total`,
      help: 'Requests refused and connections closed because of a limit of the VM, by limit',
      labelNames: ['limit'],
      registers,
    }),
    requestBytes: new Gauge({
      name: `${prefix}request_bytes`,
      help: 'Bytes that the requests of callers hold',
      registers,
    }),
    waitingStreams: new Gauge({
      name: `${prefix}waiting_streams`,
      help: 'Streams that wait for engine memory',
      registers,
    }),
    configVersion: new Gauge({
      name: `${prefix}config_version`,
      help: 'Version of the configuration in force',
      registers,
    }),
    configBehindMs: new Gauge({
      name: `${prefix}config_behind_ms`,
      help: 'Milliseconds since a newer configuration is known that was not received yet',
      registers,
    }),
    viewFetches: new Counter({
      name: `${prefix}view_fetches_total`,
      help: 'Fetches of changes from other VMs and reads from the store, by outcome',
      labelNames: ['outcome'],
      registers,
    }),
    storeReachable: new Gauge({
      name: `${prefix}store_reachable`,
      help: '1 while the store answers',
      registers,
    }),
    loopDelayMs: new Histogram({
      name: `${prefix}event_loop_delay_ms`,
      help: 'Milliseconds by which a periodic task ran late',
      buckets: loopDelayBucketsMs,
      registers,
    }),
    answerBytes: new Counter({
      name: `${prefix}answer_bytes_total`,
      help: 'Bytes that backend servers sent, of bodies and around them',
      labelNames: ['part'],
      registers,
    }),
    answerPieces: new Counter({
      name: `${prefix}answer_pieces_total`,
      help: 'Pieces in which bodies of backend servers were handled',
      registers,
    }),
    answerReadMs: new Counter({
      name: `${prefix}answer_read_ms_total`,
      help: 'Milliseconds that the handling of what backend servers sent took',
      registers,
    }),
    answerLongestReadMs: new Histogram({
      name: `${prefix}answer_longest_read_ms`,
      help: 'Milliseconds that the longest read of an answer kept the event loop',
      buckets: loopDelayBucketsMs,
      registers,
    }),
    heapBytes: new Gauge({
      name: `${prefix}heap_bytes`,
      help: 'Bytes of the heap in use, with those that the next collection frees',
      registers,
    }),
    partitioned: new Gauge({
      name: `${prefix}partitioned`,
      help: '1 while the VM reaches no backend server itself',
      registers,
    }),
    serverTunnels: new Gauge({
      name: `${prefix}server_tunnels`,
      help: 'Connections to backend servers that are open for other VMs',
      registers,
    }),
    droppedLogLines: new Counter({
      name: `${prefix}log_lines_left_out_total`,
      help: 'Log lines left out because their reader was slow',
      registers,
    }),
    render: () => registry.metrics(),
  };
};
