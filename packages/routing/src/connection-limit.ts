/** Part of the descriptors for callers; the rest is for backend servers, the store, other VMs and files. */
const callersShare = 5 / 8;

/** Number of descriptors that is assumed if the operating system does not tell it. */
const defaultDescriptors = 4_096;

/** Parses the number of descriptors from the limits of a process, as Linux shows them in /proc/self/limits. */
const parseDescriptors = (limits: string): number =>
  Number(/^Max open files +(\d+) /m.exec(limits)?.[1] ?? defaultDescriptors);

/**
 * Returns the number of connections that callers may have open. Without a setting, `readLimits` tells the limits of
 * the process.
 *
 * @example
 * deriveMaxConnections(4_100, () => ''); // 2562
 * deriveMaxConnections(undefined, () => 'Max open files   1024   4096   files'); // 640
 */
export const deriveMaxConnections = (
  setting: number | undefined,
  readLimits: () => string,
): number => Math.floor((setting ?? parseDescriptors(readLimits())) * callersShare);
