import { exitCodes, type CommandResult } from './exit-codes.js';

/** Fields of a log line that the trail of a request uses. */
interface LogLine {
  readonly time: string;
  readonly vm: string;
  readonly event: number;
  readonly msg: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that every log line has; all others are printed as `name=value`. */
const standardFields = new Set([
  'name',
  'hostname',
  'pid',
  'level',
  'v',
  'time',
  'vm',
  'event',
  'msg',
]);

/** Events that record how a request ended. */
const endEvents = new Set([2301, 2302, 2303, 2304, 2308]);

/** Events that record a change in a VM's view of the fleet, with the topic of the change. */
const stateEvents: Readonly<Record<number, string>> = {
  2101: 'store',
  2102: 'store',
  2103: 'configuration',
  2105: 'server',
  2204: 'role',
};

const parseLine = (text: string): LogLine | undefined => {
  const jsonStart = text.indexOf('{');
  if (jsonStart < 0) return undefined;
  try {
    const record = JSON.parse(text.slice(jsonStart)) as Record<string, unknown>;
    if (typeof record.event !== 'number' || typeof record.time !== 'string') return undefined;
    const fields = Object.entries(record).filter(([name]) => !standardFields.has(name));
    return {
      time: record.time,
      vm: String(record.vm ?? ''),
      event: record.event,
      msg: String(record.msg ?? ''),
      fields: Object.fromEntries(fields),
    };
  } catch {
    // Log files may contain lines of other programs.
    return undefined;
  }
};

const describeFields = (fields: LogLine['fields']): string =>
  Object.entries(fields)
    .filter(([name]) => name !== 'id')
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(' ');

const formatLine = (line: LogLine): string =>
  `${line.time}  ${line.vm}  ${line.event} ${line.msg}  ${describeFields(line.fields)}`;

const getTopic = (line: LogLine): string | undefined => {
  const topic = stateEvents[line.event];
  return topic === 'server' ? `server ${String(line.fields.server)}` : topic;
};

/**
 * Finds the latest state event of each topic that the request's VMs logged no later than the
 * request's last line. Backend servers that the request did not use are left out.
 */
const collectKnownState = (lines: readonly LogLine[], trail: readonly LogLine[]): LogLine[] => {
  const endTime = trail.at(-1)?.time ?? '';
  const vms = new Set(trail.map((line) => line.vm));
  const servers = new Set(
    trail.flatMap(({ fields }) =>
      [fields.server, fields.decode, fields.prefill]
        .filter((id) => id !== undefined)
        .map((id) => `server ${String(id)}`),
    ),
  );
  const latestByTopic = new Map<string, LogLine>();
  lines.forEach((line) => {
    const topic = getTopic(line);
    if (topic === undefined || !vms.has(line.vm) || line.time > endTime) return;
    if (topic.startsWith('server') && !servers.has(topic)) return;
    latestByTopic.set(`${line.vm} ${topic}`, line);
  });
  return [...latestByTopic.values()];
};

const describeConclusion = (trail: readonly LogLine[]): string => {
  const endLine = trail.findLast((line) => endEvents.has(line.event));
  if (!endLine) return 'no end is logged: the VM stopped, or the line was left out under load';
  const failures = trail.filter((line) => line.event === 2306);
  const failedSends = failures.map(
    ({ fields }) => `${String(fields.server)}: ${String(fields.reason)}`,
  );
  const reasonText =
    endLine.fields.reason === undefined ? '' : `: ${String(endLine.fields.reason)}`;
  const failuresText =
    failedSends.length === 0 ? '' : `; sends that failed before: ${failedSends.join(', ')}`;
  return `${endLine.msg}${reasonText}${failuresText}`;
};

/**
 * Finds the log lines of a request in the logs of any number of VMs, ordered by time.
 *
 * @param logLines - lines of log files; lines that are not log events are ignored
 * @example
 * explainRequest(readFileSync('vm-1.log', 'utf8').split('\n'), '9c41d07be2a35f68').text;
 */
export const explainRequest = (logLines: readonly string[], id: string): CommandResult => {
  const lines = logLines
    .map(parseLine)
    .filter((line) => line !== undefined)
    .sort((a, b) => a.time.localeCompare(b.time));
  const trail = lines.filter((line) => line.fields.id === id);
  if (trail.length === 0) {
    const text = `request ${id} not found in ${lines.length} lines`;
    return { code: exitCodes.fault, text, json: { id, trail: [] } };
  }
  const knownState = collectKnownState(lines, trail);
  const conclusion = describeConclusion(trail);
  const text = [
    `request ${id}`,
    ...trail.map((line) => `  ${formatLine(line)}`),
    'state known to its VMs at that time',
    ...knownState.map((line) => `  ${formatLine(line)}`),
    `conclusion: ${conclusion}`,
  ].join('\n');
  return { code: exitCodes.ok, text, json: { id, trail, beliefs: knownState, conclusion } };
};
