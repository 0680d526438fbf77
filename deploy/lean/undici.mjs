import request from '../../node_modules/undici/lib/api/api-request.js';
import Dispatcher from '../../node_modules/undici/lib/dispatcher/dispatcher.js';

/** The parts of undici that the router uses; loading all of undici takes twice as long. */
Dispatcher.prototype.request = request;

export { default as Client } from '../../node_modules/undici/lib/dispatcher/client.js';
export { default as Pool } from '../../node_modules/undici/lib/dispatcher/pool.js';
export { default as buildConnector } from '../../node_modules/undici/lib/core/connect.js';
