import test from 'ava';
import { chooseStatement, type LimitStatement } from './stated-limits.js';

const limited: LimitStatement = { requestsPerS: 2, sentAt: 1_000, receivedAt: 1_040 };

test('the limit of a later response replaces an earlier one', (t) => {
  const raised = { requestsPerS: 5, sentAt: 1_040, receivedAt: 1_060 };
  t.is(chooseStatement(limited, raised), raised);
  t.is(chooseStatement(raised, limited), raised);
});

test('a response without a limit ends it only if its request was sent after the limit was known', (t) => {
  const overtaken = { requestsPerS: undefined, sentAt: 990, receivedAt: 1_050 };
  t.is(chooseStatement(limited, overtaken), limited);
  const later = { requestsPerS: undefined, sentAt: 1_041, receivedAt: 1_050 };
  t.is(chooseStatement(limited, later), later);
});

test('of two responses that overtake each other the lower limit counts', (t) => {
  const lower = { requestsPerS: 1, sentAt: 1_010, receivedAt: 1_045 };
  t.is(chooseStatement(limited, lower), lower);
  t.is(chooseStatement(lower, limited), lower);
  const unlimited = { requestsPerS: undefined, sentAt: 1_010, receivedAt: 1_045 };
  t.is(chooseStatement(unlimited, limited), limited);
});

test('a limit that another VM passes on late does not come back after its end', (t) => {
  const ended = { requestsPerS: undefined, sentAt: 1_045, receivedAt: 1_060 };
  const late = { requestsPerS: 2, sentAt: 1_005, receivedAt: 1_050 };
  t.is(chooseStatement(ended, late, 20), ended);
});
