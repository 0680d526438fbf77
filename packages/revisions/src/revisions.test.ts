import test from 'ava';
import fc from 'fast-check';
import { err, ok } from 'neverthrow';
import type { CasAnswer, Store, StoreEntry } from '@hemlocksill/types/ports.js';
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
const documentOf = (rate: number): string =>
  `[limits]\n[workspace forge]\nrate = ${rate}\nburst = 1000\n`;

const makeMemoryStore = () => {
  const entries = new Map<string, StoreEntry>();
  const script: ('ok' | 'lost-after' | 'lost-before')[] = [];
  let revision = 0;
  const cas: Store['cas'] = (req) => {
    const how = req.key === keys.head ? (script.shift() ?? 'ok') : 'ok';
    if (how === 'lost-before') return Promise.resolve(err('timeout'));
    const current = entries.get(req.key);
    let answer: CasAnswer = { kind: 'conflict', current };
    if ((current?.revision ?? 0) === req.expected) {
      revision += 1;
      if (req.value === undefined) entries.delete(req.key);
      else entries.set(req.key, { key: req.key, value: req.value, revision });
      answer = { kind: 'written', revision };
    }
    return Promise.resolve(how === 'lost-after' ? err('timeout') : ok(answer));
  };
  const get: Store['get'] = (key) => Promise.resolve(ok(entries.get(key)));
  return { store: { get, cas } as Store, entries, script };
};

const authorOf = (writeId: string) => ({ writeId, operator: 'test', at: '2026-01-01T00:00:00Z' });

test('of two documents on one base, one is accepted and one superseded', async (t) => {
  const { store } = makeMemoryStore();
  const results = await Promise.all(
    [10, 20].map((rate) =>
      publishChange(store, keys, authorOf(`w${rate}`), assembleDocumentChange(documentOf(rate), 0)),
    ),
  );
  t.is(results.filter((r) => r.isOk()).length, 1);
  const [lost] = results.filter((r) => r.isErr());
  t.is(lost?._unsafeUnwrapErr().kind, 'superseded');
});

test('keys given at the same time all stand', async (t) => {
  const { store } = makeMemoryStore();
  await publishChange(store, keys, authorOf('d'), assembleDocumentChange(documentOf(1), 0));
  const records = Array.from({ length: 5 }, () => makeKey('trial', 'forge', '').record);
  const results = await Promise.all(
    records.map((r, i) => publishChange(store, keys, authorOf(`k${i}`), assembleKeyAddition(r))),
  );
  t.true(results.every((r) => r.isOk()));
  const published = (await readPublished(store, keys))._unsafeUnwrap();
  const snapshot = assembleSnapshot(9, published.parts)._unsafeUnwrap();
  t.is(snapshot.keys.size, 5);
});

test('a lost answer tells accepted when the write took effect, and unknown when it may yet', async (t) => {
  const { store, script } = makeMemoryStore();
  script.push('lost-after');
  const change = assembleDocumentChange(documentOf(1), 0);
  t.is((await publishChange(store, keys, authorOf('a'), change))._unsafeUnwrap(), 1);
  script.push('lost-before');
  const again = assembleDocumentChange(documentOf(2), 1);
  const unknown = await publishChange(store, keys, authorOf('b'), again);
  t.deepEqual(unknown._unsafeUnwrapErr(), { kind: 'unknown', writeId: 'b' });
  t.is((await settlePublish(store, keys, 'b'))._unsafeUnwrap(), undefined);
  t.is((await settlePublish(store, keys, 'a'))._unsafeUnwrap(), 1);
});

test('a rejected document changes nothing, and parts that were replaced are deleted', async (t) => {
  const { store, entries } = makeMemoryStore();
  await publishChange(store, keys, authorOf('a'), assembleDocumentChange(documentOf(1), 0));
  const before = entries.size;
  const bad = await publishChange(store, keys, authorOf('b'), assembleDocumentChange('[x]', 1));
  t.is(bad._unsafeUnwrapErr().kind, 'rejected');
  await publishChange(store, keys, authorOf('c'), assembleDocumentChange(documentOf(2), 1));
  t.is(entries.size, before);
});

test('a withdrawn key is found no more, nor one of another environment', async (t) => {
  const { store } = makeMemoryStore();
  await publishChange(store, keys, authorOf('d'), assembleDocumentChange(documentOf(1), 0));
  const key = makeKey('trial', 'forge', '');
  const read = async () => {
    const { parts } = (await readPublished(store, keys))._unsafeUnwrap();
    return assembleSnapshot(1, parts)._unsafeUnwrap().keys;
  };
  await publishChange(store, keys, authorOf('k'), assembleKeyAddition(key.record));
  t.is(findKey(await read(), key.text)?.workspace, 'forge');
  t.is(findKey(await read(), key.text.replace('trial', 'production')), undefined);
  t.is(findKey(await read(), `${key.text}0`), undefined);
  await publishChange(store, keys, authorOf('x'), assembleKeyWithdrawal(key.record.id));
  t.is(findKey(await read(), key.text), undefined);
  const twice = await publishChange(store, keys, authorOf('y'), assembleKeyWithdrawal('none'));
  t.is(twice._unsafeUnwrapErr().kind, 'rejected');
});

test('promotion takes everything but the backend servers', (t) => {
  const server = (port: number) =>
    `[backend-server s]\nrole = service\nservice = desk\nurl = http://127.0.0.1:${port}\ndata-centre = a\n`;
  const promoted = assemblePromotion(documentOf(7) + server(1), documentOf(1) + server(2));
  t.true(promoted.includes('rate = 7') && promoted.includes(':2'));
  t.false(promoted.includes('rate = 1\n') || promoted.includes(':1\n'));
});

test('splitting and joining keeps every section', (t) => {
  const names = fc.uniqueArray(fc.stringMatching(/^[a-z]{1,8}$/), { maxLength: 40 });
  fc.assert(
    fc.property(names, (list) => {
      const text = list.map((n) => `[workspace ${n}]\nrate = 1\nburst = 2`).join('\n');
      const snapshot = assembleSnapshot(1, splitDocument(text))._unsafeUnwrap();
      t.deepEqual([...snapshot.document.workspaces.keys()].sort(), [...list].sort());
      t.is(joinDocument(splitDocument(text)).match(/rate = 1/g)?.length ?? 0, list.length);
    }),
    { seed: 45 },
  );
});

test('a proof counts from its question, and only for the revision in force', (t) => {
  const at3 = adoptRevision(initialRevisionState, 3);
  t.is(getProofDeadline(recordProof(at3, 3, 1_000)), 1_000 + proofLifetimeMs);
  t.is(getProofDeadline(recordProof(at3, 4, 1_000)), Number.NEGATIVE_INFINITY);
  const view = { revision: 3, proofAgeMs: 400, storeReachable: true };
  t.is(recordPeerProof(at3, view, 5_000).provenAt, 4_600);
});

test('a VM alone stops, one among most of its peers goes on through an outage', (t) => {
  const proven = recordProof(adoptRevision(initialRevisionState, 3), 3, 0);
  const view = { revision: 3, proofAgeMs: 60_000, storeReachable: false };
  const alone = recordOutage(proven, [], 4, 60_000);
  t.is(getProofDeadline(alone), proofLifetimeMs);
  const among = recordOutage(proven, [view, view], 4, 60_000);
  t.is(getProofDeadline(among), 60_000 + proofLifetimeMs);
  const sees = recordOutage(proven, [view, { ...view, storeReachable: true }], 4, 60_000);
  t.is(getProofDeadline(sees), proofLifetimeMs);
  const late = recordOutage(proven, [view, view], 4, 2 * maxOutageMs);
  t.is(getProofDeadline(late), maxOutageMs);
});

test('a fresh VM adopts nothing from one stale peer out of four', (t) => {
  const stale = { revision: 3, proofAgeMs: 99_000, storeReachable: false };
  const newer = { ...stale, revision: 5 };
  t.is(chooseOutageRevision([stale], 4), undefined);
  t.is(chooseOutageRevision([stale, newer, stale], 4), 5);
});

test('whatever order heads and proofs come in, a revision never goes back', (t) => {
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
