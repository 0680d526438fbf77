import test from 'ava';
import fc from 'fast-check';
import { err, ok } from 'neverthrow';
import type { CasResponse, Store, StoreEntry } from '@hemlocksill/types/ports.js';
import {
  adoptRevision,
  chooseOutageRevision,
  initialRevisionState,
  getProofDeadline,
  maxOutageMs,
  proofLifetimeMs,
  recordOutage,
  recordPeerProof,
  recordProof,
} from './revision-state.js';
import {
  assembleDocumentChange,
  assembleKeyAddition,
  assembleKeyWithdrawal,
  assemblePromotion,
} from './changes.js';
import { findKey, makeKey } from './keys.js';
import { joinDocument, splitDocument } from './parts.js';
import { publishChange, readPublished, settlePublish } from './publish.js';
import { assembleSnapshot } from './snapshot.js';
import { getStoreKeys } from './store-keys.js';

const keys = getStoreKeys('trial');
const makeDocument = (rate: number): string =>
  `[limits]\n[workspace forge]\nrate = ${rate}\nburst = 1000\n`;

const makeMemoryStore = () => {
  const entries = new Map<string, StoreEntry>();
  const headWriteResults: ('ok' | 'lost-after' | 'lost-before')[] = [];
  let revision = 0;
  const cas: Store['cas'] = (req) => {
    const result = req.key === keys.head ? (headWriteResults.shift() ?? 'ok') : 'ok';
    if (result === 'lost-before') return Promise.resolve(err('timeout'));
    const current = entries.get(req.key);
    let response: CasResponse = { kind: 'conflict', current };
    if ((current?.revision ?? 0) === req.expected) {
      revision += 1;
      if (req.value === undefined) entries.delete(req.key);
      else entries.set(req.key, { key: req.key, value: req.value, revision });
      response = { kind: 'written', revision };
    }
    return Promise.resolve(result === 'lost-after' ? err('timeout') : ok(response));
  };
  const get: Store['get'] = (key) => Promise.resolve(ok(entries.get(key)));
  return { store: { get, cas } as Store, entries, headWriteResults };
};

const makeAuthor = (writeId: string) => ({ writeId, operator: 'test', at: '2026-01-01T00:00:00Z' });

test('of two documents with the same base, one is accepted and one is superseded', async (t) => {
  const { store } = makeMemoryStore();
  const results = await Promise.all(
    [10, 20].map((rate) =>
      publishChange(
        store,
        keys,
        makeAuthor(`w${rate}`),
        assembleDocumentChange(makeDocument(rate), 0),
      ),
    ),
  );
  t.is(results.filter((r) => r.isOk()).length, 1);
  const [superseded] = results.filter((r) => r.isErr());
  t.is(superseded?._unsafeUnwrapErr().kind, 'superseded');
});

test('keys that are added concurrently are all kept', async (t) => {
  const { store } = makeMemoryStore();
  await publishChange(store, keys, makeAuthor('d'), assembleDocumentChange(makeDocument(1), 0));
  const records = Array.from({ length: 5 }, () => makeKey('trial', 'forge', '').record);
  const results = await Promise.all(
    records.map((r, i) => publishChange(store, keys, makeAuthor(`k${i}`), assembleKeyAddition(r))),
  );
  t.true(results.every((r) => r.isOk()));
  const published = (await readPublished(store, keys))._unsafeUnwrap();
  const snapshot = assembleSnapshot(9, published.parts)._unsafeUnwrap();
  t.is(snapshot.keys.size, 5);
});

test('a lost response means accepted if the write took effect, unknown if it still may', async (t) => {
  const { store, headWriteResults } = makeMemoryStore();
  headWriteResults.push('lost-after');
  const change = assembleDocumentChange(makeDocument(1), 0);
  t.is((await publishChange(store, keys, makeAuthor('a'), change))._unsafeUnwrap(), 1);
  headWriteResults.push('lost-before');
  const nextChange = assembleDocumentChange(makeDocument(2), 1);
  const unknown = await publishChange(store, keys, makeAuthor('b'), nextChange);
  t.deepEqual(unknown._unsafeUnwrapErr(), { kind: 'unknown', writeId: 'b' });
  t.is((await settlePublish(store, keys, 'b'))._unsafeUnwrap(), undefined);
  t.is((await settlePublish(store, keys, 'a'))._unsafeUnwrap(), 1);
});

test('a rejected document changes nothing, and replaced parts are deleted', async (t) => {
  const { store, entries } = makeMemoryStore();
  await publishChange(store, keys, makeAuthor('a'), assembleDocumentChange(makeDocument(1), 0));
  const entriesBefore = entries.size;
  const rejected = await publishChange(
    store,
    keys,
    makeAuthor('b'),
    assembleDocumentChange('[x]', 1),
  );
  t.is(rejected._unsafeUnwrapErr().kind, 'rejected');
  await publishChange(store, keys, makeAuthor('c'), assembleDocumentChange(makeDocument(2), 1));
  t.is(entries.size, entriesBefore);
});

test('a withdrawn key or a key of another environment is not found', async (t) => {
  const { store } = makeMemoryStore();
  await publishChange(store, keys, makeAuthor('d'), assembleDocumentChange(makeDocument(1), 0));
  const key = makeKey('trial', 'forge', '');
  const readKeys = async () => {
    const { parts } = (await readPublished(store, keys))._unsafeUnwrap();
    return assembleSnapshot(1, parts)._unsafeUnwrap().keys;
  };
  await publishChange(store, keys, makeAuthor('k'), assembleKeyAddition(key.record));
  t.is(findKey(await readKeys(), key.text)?.workspace, 'forge');
  t.is(findKey(await readKeys(), key.text.replace('trial', 'production')), undefined);
  t.is(findKey(await readKeys(), `${key.text}0`), undefined);
  await publishChange(store, keys, makeAuthor('x'), assembleKeyWithdrawal(key.record.id));
  t.is(findKey(await readKeys(), key.text), undefined);
  const unknownKey = await publishChange(
    store,
    keys,
    makeAuthor('y'),
    assembleKeyWithdrawal('none'),
  );
  t.is(unknownKey._unsafeUnwrapErr().kind, 'rejected');
});

test('a promotion copies everything except the backend servers', (t) => {
  const server = (port: number) =>
    `[backend-server s]\nrole = service\nservice = desk\nurl = http://127.0.0.1:${port}\ndata-centre = a\n`;
  const promoted = assemblePromotion(makeDocument(7) + server(1), makeDocument(1) + server(2));
  t.true(promoted.includes('rate = 7') && promoted.includes(':2'));
  t.false(promoted.includes('rate = 1\n') || promoted.includes(':1\n'));
});

test('splitting and joining a document keeps every section', (t) => {
  const names = fc.uniqueArray(fc.stringMatching(/^[a-z]{1,8}$/), { maxLength: 40 });
  fc.assert(
    fc.property(names, (workspaces) => {
      const text = workspaces.map((n) => `[workspace ${n}]\nrate = 1\nburst = 2`).join('\n');
      const snapshot = assembleSnapshot(1, splitDocument(text))._unsafeUnwrap();
      t.deepEqual([...snapshot.document.workspaces.keys()].sort(), [...workspaces].sort());
      t.is(joinDocument(splitDocument(text)).match(/rate = 1/g)?.length ?? 0, workspaces.length);
    }),
    { seed: 45 },
  );
});

test('a proof is valid from the time of the request and only for the revision in force', (t) => {
  const stateAt3 = adoptRevision(initialRevisionState, 3);
  t.is(getProofDeadline(recordProof(stateAt3, 3, 1_000)), 1_000 + proofLifetimeMs);
  t.is(getProofDeadline(recordProof(stateAt3, 4, 1_000)), Number.NEGATIVE_INFINITY);
  const view = { revision: 3, proofAgeMs: 400, storeReachable: true };
  t.is(recordPeerProof(stateAt3, view, 5_000).provenAt, 4_600);
});

test('during a store outage an isolated VM stops, and a VM in the majority continues', (t) => {
  const proven = recordProof(adoptRevision(initialRevisionState, 3), 3, 0);
  const view = { revision: 3, proofAgeMs: 60_000, storeReachable: false };
  const isolated = recordOutage(proven, [], 4, 60_000);
  t.is(getProofDeadline(isolated), proofLifetimeMs);
  const inMajority = recordOutage(proven, [view, view], 4, 60_000);
  t.is(getProofDeadline(inMajority), 60_000 + proofLifetimeMs);
  const peerReachesStore = recordOutage(
    proven,
    [view, { ...view, storeReachable: true }],
    4,
    60_000,
  );
  t.is(getProofDeadline(peerReachesStore), proofLifetimeMs);
  const afterMaxOutage = recordOutage(proven, [view, view], 4, 2 * maxOutageMs);
  t.is(getProofDeadline(afterMaxOutage), maxOutageMs);
});

test('a starting VM adopts a revision only if a majority of its peers replies', (t) => {
  const stale = { revision: 3, proofAgeMs: 99_000, storeReachable: false };
  const newer = { ...stale, revision: 5 };
  t.is(chooseOutageRevision([stale], 4), undefined);
  t.is(chooseOutageRevision([stale, newer, stale], 4), 5);
});

test('the revision and the proof time never decrease, whatever the order of heads and proofs', (t) => {
  const step = fc.record({
    revision: fc.nat({ max: 20 }),
    asOf: fc.nat({ max: 10_000 }),
    kind: fc.constantFrom('adopt', 'proof', 'peer'),
  });
  fc.assert(
    fc.property(fc.array(step, { size: 'max', maxLength: 60 }), (steps) => {
      let state = initialRevisionState;
      steps.forEach(({ revision, asOf, kind }) => {
        const before = state;
        if (kind === 'adopt') state = adoptRevision(state, revision);
        if (kind === 'proof') state = recordProof(state, revision, asOf);
        if (kind === 'peer')
          state = recordPeerProof(state, { revision, proofAgeMs: 5, storeReachable: true }, asOf);
        t.true(state.revision >= before.revision && state.provenAt >= before.provenAt);
      });
    }),
    { seed: 46 },
  );
});
