/** Replaces modules that the program's dependencies import but the program never uses. */
export const constants = {};
export default { constants };
