// Clients of streams, and the check that a stream holds events of one software version only.
import { apiKey, host } from './config.mjs';
import { now, send } from './harness.mjs';

const promptTokens = 3000;

/** Sends a stream; `takesUp` names the client attempt that brought its first event, and its last event. */
export const sendStream = (vm, { id, takesUp, onData, maxTokens = 700 }) =>
  send(vm.callers, {
    path: '/allocate/2f',
    method: 'POST',
    headers: {
      host,
      'request-id': id,
      model: 'm',
      'token-counts': `${promptTokens},${maxTokens}`,
      'prompt-prefix': `5c1e07a2:200,${id.replace(/[^0-9a-f]/g, '')}e4:2800`,
      deadline: '14000',
      'x-api-key': apiKey,
      ...(takesUp ? { resumes: takesUp.call, 'last-event-id': String(takesUp.after) } : {}),
    },
    body: `specification of ${takesUp?.call ?? id}`,
    onData,
  });

/** Returns a stream's whole events: their number, and the version and runner that wrote them. */
export const listEvents = (text) =>
  [...text.matchAll(/id: (\d+)\ndata: (\S+) (\S+) e\d+\n\n/g)].map(([, id, version, server]) => ({
    id: Number(id),
    version,
    server,
  }));

/** Returns which versions and runners a stream has events of. */
export const describeStream = (call, texts) => {
  const events = texts.flatMap(listEvents);
  return {
    call,
    versions: [...new Set(events.map(({ version }) => version))],
    servers: [...new Set(events.map(({ server }) => server))],
    events: events.length,
    at: Math.round(now()),
  };
};
