/**
 * Waits for some milliseconds.
 *
 * @example
 * await pause(200);
 */
export const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
