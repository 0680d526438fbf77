import test from 'ava';
import { chooseViewSource, type FetchState } from './choose-view-source.js';

const near = { address: '10.1.0.1:80', dataCentre: 'a' };
const far = { address: '10.2.0.1:80', dataCentre: 'b' };
const makeState = (overrides: Partial<FetchState>): FetchState => ({
  dataCentre: 'a',
  isWatching: false,
  vms: 195,
  behindMs: 0,
  spreadShare: 0.5,
  ...overrides,
});

test('a change that a watcher announces to all VMs within milliseconds causes no fetch', (t) => {
  t.is(
    chooseViewSource([near, far], makeState({ behindMs: 20 }), () => 0),
    undefined,
  );
  t.is(
    chooseViewSource([near], makeState({ behindMs: 80 }), () => 0),
    near.address,
  );
});

test('a VM of the own data centre is asked first', (t) => {
  const state = makeState({ behindMs: 500 });
  t.is(
    chooseViewSource([far, near], state, () => 0),
    near.address,
  );
  t.is(
    chooseViewSource([far], state, () => 0),
    far.address,
  );
});

test('fetches of a large fleet from other data centres are spread, those of a small one are not', (t) => {
  const isFetched = (vms: number, spreadShare: number) =>
    chooseViewSource([far], makeState({ vms, spreadShare, behindMs: 100 }), () => 0) !== undefined;
  t.true(isFetched(195, 0.1));
  t.false(isFetched(195, 0.9));
  t.true(isFetched(8, 0.9));
});

test('a watcher gives its own watch more time, and all fetch within half a second', (t) => {
  t.is(
    chooseViewSource([near], makeState({ isWatching: true, behindMs: 200 }), () => 0),
    undefined,
  );
  [true, false].forEach((isWatching) =>
    t.truthy(
      chooseViewSource([far], makeState({ isWatching, behindMs: 400, spreadShare: 1 }), () => 0),
    ),
  );
});
