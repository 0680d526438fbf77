const nodeAssert = require('node:assert');

/**
 * Gives each assertion a message. Without one, Node.js reads the source file of a failed assertion and
 * parses it from the start of its line, which takes seconds in the long lines of the bundle.
 */
const ok = (value, message) => nodeAssert.ok(value, message ?? 'assertion failed');

module.exports = Object.assign(ok, nodeAssert, { ok });
