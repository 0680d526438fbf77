/** Stands for modules that the program's libraries load and the program never uses. */
export const constants = {};
export default { constants };
