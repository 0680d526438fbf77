/** English messages only; those of the router are read by operators and developers only. */
export { default as en } from '../../node_modules/zod/v4/locales/en.js';
