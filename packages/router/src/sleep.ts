/**
 * Resolves after the given number of milliseconds.
 *
 * @example
 * await sleep(200);
 */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
