import { Agent, Pool } from 'undici';
import { makeAnswerClient, type AnswerClientOptions } from './answer-client.js';
import { makeConnector } from './make-connector.js';

/**
 * Creates a client of any number of servers whose connections are those of `makeAnswerClient`.
 *
 * @example
 * const agent = makeAnswerAgent({ connect: makeConnector({ timeout: 500 }) });
 * const answer = await collectAnswer(request(url, { dispatcher: agent }), 1_024);
 */
export const makeAnswerAgent = ({
  connect = makeConnector(),
  ...options
}: Agent.Options & AnswerClientOptions): Agent =>
  new Agent({
    ...options,
    connect,
    factory: (origin, poolOptions) =>
      new Pool(origin, { ...poolOptions, factory: makeAnswerClient }),
  });
