import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { fileURLToPath } from 'node:url';

/** A running child process. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Resolves with the exit code, or -1 after a signal. */
  readonly exited: Promise<number>;
}

const resolvePackageFile = (specifier: string): string =>
  fileURLToPath(import.meta.resolve(specifier));

/** Script files of the programs that a fleet runs. */
export const programs = {
  entry: resolvePackageFile('@hemlocksill/daemon/entry-main.js'),
  cli: resolvePackageFile('@hemlocksill/cli/hemlocksill.js'),
  variant: fileURLToPath(new URL('./variant-main.js', import.meta.url)),
  standIns: resolvePackageFile('@hemlocksill/stand-ins/stand-ins-main.js'),
} as const;

/** Starts a Node.js program and appends its output to a log file. */
export const startProgram = (
  name: string,
  file: string,
  args: readonly string[],
  logFile: string,
): StartedProcess => {
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

/** Exit code and output of a program. */
export interface ProgramOutput {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a Node.js program until it exits. */
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
