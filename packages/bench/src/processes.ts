import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { fileURLToPath } from 'node:url';

/** A process started by a launcher. */
export interface Started {
  readonly name: string;
  readonly child: ChildProcess;
  readonly exited: Promise<number>;
}

const resolvePackageFile = (specifier: string): string =>
  fileURLToPath(import.meta.resolve(specifier));

/** Files of the programs that launchers start. */
export const programs = {
  entry: resolvePackageFile('@hemlocksill/daemon/entry-main.js'),
  cli: resolvePackageFile('@hemlocksill/cli/hemlocksill.js'),
  variant: fileURLToPath(new URL('./variant-main.js', import.meta.url)),
  standIns: resolvePackageFile('@hemlocksill/stand-ins/stand-ins-main.js'),
} as const;

/** Starts a Node.js program whose output goes to a file. */
export const startProgram = (
  name: string,
  file: string,
  args: readonly string[],
  logFile: string,
): Started => {
  const child = spawn(process.execPath, [file, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  const log = createWriteStream(logFile, { flags: 'a' });
  child.stdout.pipe(log, { end: false });
  child.stderr.pipe(log, { end: false });
  const exited = new Promise<number>((resolve) => {
    child.on('exit', (code) => {
      log.end();
      resolve(code ?? -1);
    });
  });
  return { name, child, exited };
};

/** Output of a program that has ended. */
export interface ProgramOutput {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a Node.js program to its end. */
export const runProgram = (file: string, args: readonly string[]): Promise<ProgramOutput> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [file, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', (chunk: Buffer) => {
      stdout += chunk.toString();
    });
    child.stderr.on('data', (chunk: Buffer) => {
      stderr += chunk.toString();
    });
    child.on('close', (code) => resolve({ code: code ?? -1, stdout, stderr }));
  });

const openServer = (): Promise<Server> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => resolve(server));
  });

/** Finds free ports on the loopback address. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, openServer));
  const ports = servers.map((s) => (s.address() as AddressInfo).port);
  await Promise.all(
    servers.map(
      (s) =>
        new Promise((resolve) => {
          s.close(resolve);
        }),
    ),
  );
  return ports;
};
