/**
 * Waits for some milliseconds.
 *
 * @example
 * await sleep(200);
 */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
