import test from 'ava';
import { checkEndlessAnswers } from '@hemlocksill/sockets/fixtures/endless-servers.js';
import { fetchPeerView } from './peer-views.js';

// Guards against a peer whose answer without an end makes the process run out of memory or stand still.
test('a view without an end is a fault, in each form', (t) =>
  checkEndlessAnswers(t, 13_000, async (port) => {
    const { signal } = new AbortController();
    const seen = { config: 0, servers: 0 };
    const view = await fetchPeerView(`127.0.0.1:${port}`, seen, '127.0.0.1:9', signal);
    return view.match(
      () => 'ok',
      (fault) => (fault.kind === 'failed' ? fault.reason : fault.kind),
    );
  }));
