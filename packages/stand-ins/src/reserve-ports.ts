import { closeSync, mkdirSync, openSync, rmSync, statSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Range of reserved ports, below that from which the system takes ports for connections. */
const minPort = 12_000;
const maxPort = 32_000;

/** Age after which the claim of a process that was killed no longer counts. */
const maxClaimAgeMs = 20 * 60_000;

const claimsFolder = join(tmpdir(), 'hemlocksill-ports');

const getClaimFile = (port: number): string => join(claimsFolder, String(port));

const removeOldClaim = (file: string): void => {
  const stats = statSync(file, { throwIfNoEntry: false });
  if (stats && Date.now() - stats.mtimeMs > maxClaimAgeMs) rmSync(file, { force: true });
};

const claimedFiles = new Set<string>();

process.once('exit', () => claimedFiles.forEach((file) => rmSync(file, { force: true })));

/** Claims a port among the processes that use this function; false if another one has it. */
const claim = (port: number): boolean => {
  mkdirSync(claimsFolder, { recursive: true });
  const file = getClaimFile(port);
  removeOldClaim(file);
  try {
    closeSync(openSync(file, 'wx'));
  } catch {
    // Another process created the file first.
    return false;
  }
  claimedFiles.add(file);
  return true;
};

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/**
 * Reserves free ports of the loopback address until this process exits, so that processes which
 * listen on them later, or again, find them free.
 *
 * @example
 * const [port] = await reservePorts(1);
 */
export const reservePorts = async (count: number): Promise<number[]> => {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = minPort + Math.floor(Math.random() * (maxPort - minPort));
    if (claim(port) && (await isFree(port))) ports.push(port);
  }
  return ports;
};
