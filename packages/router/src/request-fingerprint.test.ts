import test from 'ava';
import type { ForwardedCall } from '@hemlocksill/types/routing-ports.js';
import { fingerprintRequest } from './request-fingerprint.js';

const call: ForwardedCall = {
  method: 'GET',
  target: '/stock/7',
  rawHeaders: [],
  body: Buffer.from('{"item":7}'),
  metadata: {
    id: 'r1',
    key: 'k1',
    callerTimeoutMs: 1_500,
    promptTokens: 0,
    maxOutputTokens: 0,
    expectedOutputTokens: undefined,
    hasTokenCounts: false,
    lastEventId: undefined,
    resumedRequest: undefined,
    promptParts: [],
  },
  workspace: 'forge',
};

test('a repeated request has the same fingerprint, whatever its id, deadline and headers', (t) => {
  const metadata = {
    ...call.metadata,
    id: 'r2',
    key: 'k2',
    callerTimeoutMs: 300,
    lastEventId: '4',
  };
  const repeated = { ...call, rawHeaders: ['X-Attempt', '2'], metadata };
  t.is(fingerprintRequest(repeated), fingerprintRequest(call));
  t.regex(fingerprintRequest(call), /^[0-9a-f]{16}$/);
});

test('another method, target, body or caller is another request', (t) => {
  const { metadata } = call;
  const open = { ...call, workspace: undefined };
  const others = [
    call,
    { ...call, method: 'POST' },
    { ...call, target: '/stock/8' },
    { ...call, body: Buffer.from('{"item":8}') },
    { ...call, body: Buffer.alloc(0) },
    { ...call, workspace: 'small' },
    open,
    { ...open, metadata: { ...metadata, key: 'k2' } },
    { ...open, metadata: { ...metadata, key: undefined } },
  ];
  t.is(new Set(others.map(fingerprintRequest)).size, others.length);
});
