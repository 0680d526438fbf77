import test from 'ava';
import type {
  CallFault,
  ForwardedCall,
  ResponseHead,
  ResponseObserver,
} from '@hemlocksill/types/routing-ports.js';
import { makeEngineLedger } from '@hemlocksill/routing/engine-ledger.js';
import { makeEngineRates } from '@hemlocksill/routing/engine-rates.js';
import { makeServer } from '@hemlocksill/routing/fixtures.js';
import { sendPlainAttempt, type AttemptOutcome } from './plain-attempt.js';

const call: ForwardedCall = {
  method: 'GET',
  target: '/stock/',
  rawHeaders: [],
  body: Buffer.alloc(0),
  metadata: {
    id: 'r1',
    key: undefined,
    callerTimeoutMs: undefined,
    promptTokens: 0,
    maxOutputTokens: 0,
    expectedOutputTokens: undefined,
    hasTokenCounts: false,
    lastEventId: undefined,
    resumedRequest: undefined,
    promptParts: [],
  },
  workspace: undefined,
};

const head: ResponseHead = { status: 200, headers: [], hasBody: true, isFramed: true };

/** Starts an attempt that is answered by the test. */
const startAttempt = () => {
  const outcomes: AttemptOutcome[] = [];
  const held: number[] = [];
  let cancels = 0;
  let giveWay = (): void => {};
  const observers: ResponseObserver[] = [];
  sendPlainAttempt(
    {
      backends: {
        send: (_, __, ___, observer) => {
          observers.push(observer);
          return () => {
            cancels += 1;
          };
        },
      },
      plainLedger: makeEngineLedger(makeEngineRates()),
      crashWatch: {
        watchRun: () => ({
          recordEvent: () => {},
          recordEnd: () => {},
          recordBreak: () => false,
          stop: () => {},
        }),
      },
      responseEnds: { check: () => {} },
      openGathered: (callback) => {
        giveWay = callback;
        return {
          isFull: () => false,
          onRoom: () => {},
          recordHeld: (bytes) => held.push(bytes),
          close: () => {},
        };
      },
      now: () => 0,
    },
    { call, crashParts: [], timeoutAt: 1_000 },
    makeServer({ id: 'i-1' }),
    (outcome) => outcomes.push(outcome),
  );
  const [observer] = observers;
  if (!observer) throw new Error('nothing was sent');
  return {
    observer,
    held,
    giveWay: () => giveWay(),
    countCancels: () => cancels,
    getBody: (): string | undefined =>
      outcomes.map((outcome) =>
        outcome.kind === 'response' ? outcome.response.body.toString() : undefined,
      )[0],
    getFault: (): CallFault | undefined =>
      outcomes.map((outcome) => (outcome.kind === 'fault' ? outcome.fault : undefined))[0],
  };
};

// Guards against answers of small pieces whose objects fill the memory, while only their content counts.
test('small pieces are joined, and count by what they take in memory', (t) => {
  const { observer, held, getBody } = startAttempt();
  observer.start(head);
  observer.data(Buffer.from('first'));
  const read = Buffer.from('abcdefgh');
  for (let n = 0; n < read.length; n += 1) observer.data(read.subarray(n, n + 1));
  // What is kept must not be the pieces of the read.
  read.fill('z');
  t.true((held.at(-1) ?? 0) >= 1_024);
  observer.end();
  t.is(getBody(), 'firstabcdefgh');
});

// Guards against a huge answer that is read up to the bound although its head tells that it is too large.
test('an answer whose head tells too large a length is a fault at once, and malformed only if it has no end', (t) => {
  const limitBytes = 4 * 1_024 * 1_024;
  const reason = 'answer too large';
  const start = (length: string, hasBody = true): ReturnType<typeof startAttempt> => {
    const attempt = startAttempt();
    attempt.observer.start({ ...head, hasBody, headers: [['content-length', length]] });
    return attempt;
  };
  const large = start(String(limitBytes + 1));
  t.deepEqual(large.getFault(), { kind: 'unknown', reason });
  t.is(large.countCancels(), 1);
  large.observer.data(Buffer.alloc(1));
  t.deepEqual(large.held, []);
  t.deepEqual(start('900000000000').getFault(), { kind: 'unknown', reason, isMalformed: true });
  // It has only the length of a body.
  const bodyless = start('900000000000', false);
  bodyless.observer.end();
  t.is(bodyless.getBody(), '');
  const sound = start(String(limitBytes));
  sound.observer.data(Buffer.alloc(limitBytes));
  sound.observer.end();
  t.is(sound.getBody()?.length, limitBytes);
});

// Guards against an answer that is kept, or whose server counts as faulty, when it gives way.
test('an answer that gives way is cancelled, and may have run', (t) => {
  const { observer, giveWay, getFault, countCancels } = startAttempt();
  observer.start(head);
  observer.data(Buffer.from('a'));
  giveWay();
  giveWay();
  observer.end();
  t.deepEqual(getFault(), { kind: 'unknown', reason: 'the answers hold too much memory' });
  t.is(countCancels(), 1);
});
