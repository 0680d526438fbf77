import test from 'ava';
import { deriveMaxConnections } from './connection-limit.js';

const limits = [
  'Limit                     Soft Limit           Hard Limit           Units     ',
  'Max cpu time              unlimited            unlimited            seconds   ',
  'Max open files            400                  4096                 files     ',
].join('\n');

// Guards against callers that take the last descriptor.
test('callers get part of the descriptors, of the setting or of the operating system', (t) => {
  t.is(
    deriveMaxConnections(undefined, () => limits),
    250,
  );
  t.is(
    deriveMaxConnections(800, () => limits),
    500,
  );
  t.is(
    deriveMaxConnections(undefined, () => 'Max open files unlimited unlimited files'),
    2_560,
  );
  t.is(
    deriveMaxConnections(undefined, () => ''),
    2_560,
  );
});
