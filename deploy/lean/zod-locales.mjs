/** Messages in one language; the router's are read by operators and developers only. */
export { default as en } from '../../node_modules/zod/v4/locales/en.js';
