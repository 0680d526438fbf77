import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type { EngineOptions } from '@hemlocksill/stand-ins/engine-types.js';
import {
  assembleDocument,
  assembleEntrySettings,
  assembleOperatorSettings,
  assembleStandIns,
  countPorts,
  dealPorts,
  usualOptions,
  type Deployment,
  type DeploymentPorts,
  type DocumentOptions,
} from './deployment.js';
import {
  findFreePorts,
  programs,
  runProgram,
  startProgram,
  type ProgramOutput,
  type Started,
} from './processes.js';

const environment = 'production';
const startTimeoutMs = 20_000;
const pollMs = 50;

/** A deployment that runs on this machine. */
export interface Fleet {
  readonly deployment: Deployment;
  readonly ports: DeploymentPorts;
  readonly dir: string;
  readonly documentFile: string;
  readonly vms: Started[];
  readonly standIns: Started[];
  /** Base URL of each VM for callers. */
  readonly urls: readonly string[];
  /** Runs the operators' command line with JSON output. */
  readonly runCli: (...args: string[]) => Promise<ProgramOutput>;
  /** Gives a key to a workspace and returns its text and id. */
  readonly createKey: (workspace: string) => Promise<{ id: string; key: string }>;
  readonly startVm: (index: number) => Promise<void>;
  readonly setFaults: (port: number, faults: object) => Promise<void>;
  readonly readControl: <T>(port: number, what: string) => Promise<T>;
  readonly stop: () => Promise<void>;
}

/** How a fleet is started. */
export interface FleetOptions {
  readonly documentOptions?: Partial<DocumentOptions>;
  /** Further lines of the entry processes' settings. */
  readonly extraEntrySettings?: string;
  /** Program of the entry processes, with arguments before the settings file. */
  readonly entryProgram?: { readonly file: string; readonly args: readonly string[] };
  /** Certificate that the VMs' listeners for callers and operators show. */
  readonly tls?: string;
  /** Ports to use instead of free ones. */
  readonly ports?: DeploymentPorts;
  /** Added to the document. */
  readonly extraDocument?: string;
  /** Measures of the engines that differ from the usual. */
  readonly engineOptions?: Partial<EngineOptions>;
  /** Start all engines in one process and all services in another. */
  readonly groupStandIns?: boolean;
}

/** Accepts the certificates of tests, which nobody has signed. */
const trusting = new Agent({ connect: { rejectUnauthorized: false } });

/** Waits until an URL answers with status 200. */
export const waitForUrl = async (url: string, timeoutMs = startTimeoutMs): Promise<void> => {
  const deadline = Date.now() + timeoutMs;
  for (;;) {
    try {
      const res = await request(url, { dispatcher: trusting });
      await res.body.dump();
      if (res.statusCode === 200) return;
    } catch {
      // Not listening yet.
    }
    if (Date.now() > deadline) throw new Error(`${url} did not answer in time`);
    await sleep(pollMs);
  }
};

const controlUrl = (port: number, what: string): string =>
  `http://127.0.0.1:${port}/control/${what}`;

/** Starts the stand-ins, the entry processes and the document of a deployment. */
export const startFleet = async (
  deployment: Deployment,
  dir: string,
  opts: FleetOptions,
): Promise<Fleet> => {
  mkdirSync(dir, { recursive: true });
  const documentOptions = { ...usualOptions, ...opts.documentOptions };
  const ports = opts.ports ?? dealPorts(deployment, await findFreePorts(countPorts(deployment)));
  const documentFile = join(dir, `${environment}.ini`);
  const operatorFile = join(dir, 'operator.ini');
  const document = assembleDocument(deployment, ports, documentOptions);
  const slots = opts.engineOptions?.slots ?? 20;
  writeFileSync(
    documentFile,
    document.replace('slots = 20', `slots = ${slots}`) + (opts.extraDocument ?? ''),
  );
  const caLine = opts.tls === undefined ? '' : `tls-ca = ${opts.tls}\n`;
  writeFileSync(operatorFile, assembleOperatorSettings(ports, environment) + caLine);
  const settings = assembleEntrySettings(
    deployment,
    ports,
    environment,
    opts.extraEntrySettings ?? '',
  );
  settings.forEach((text, i) => writeFileSync(join(dir, `vm-${i + 1}.ini`), text));

  const specs = assembleStandIns(deployment, ports, documentOptions).map((group) =>
    group.map((spec) => (spec.kind === 'engine' ? { ...spec, ...opts.engineOptions } : spec)),
  );
  const engineCount = deployment.prefillCount + deployment.decodeCount;
  const groups = opts.groupStandIns
    ? [
        specs[0] ?? [],
        specs.slice(1, 1 + deployment.prefillCount).flat(),
        specs.slice(1 + deployment.prefillCount, 1 + engineCount).flat(),
        specs.slice(1 + engineCount).flat(),
      ]
    : specs;
  const standIns = groups.map((group, i) =>
    startProgram(
      `stand-in-${i}`,
      programs.standIns,
      [JSON.stringify(group)],
      join(dir, `stand-in-${i}.log`),
    ),
  );
  await waitForUrl(controlUrl(ports.store, 'counts'));

  const vms: Started[] = [];
  const scheme = opts.tls === undefined ? 'http' : 'https';
  const urls = ports.vms.map(([callers]) => `${scheme}://127.0.0.1:${callers}`);
  const operate = (...args: string[]): Promise<ProgramOutput> =>
    runProgram(programs.cli, ['--settings', operatorFile, '--json', ...args]);

  const program = opts.entryProgram ?? { file: programs.entry, args: [] };
  const launchVm = (index: number): void => {
    const name = `vm-${index + 1}`;
    const args = [...program.args, join(dir, `${name}.ini`)];
    vms[index] = startProgram(name, program.file, args, join(dir, `${name}.log`));
  };
  const waitReady = (index: number): Promise<void> =>
    waitForUrl(`${urls[index]}/hemlocksill/ready`);

  ports.vms.forEach((_, i) => launchVm(i));
  await Promise.all(urls.map((url) => waitForUrl(`${url}/hemlocksill/health`)));
  const submitted = await operate('submit', documentFile);
  if (submitted.code !== 0)
    throw new Error(`submit failed: ${submitted.stdout}${submitted.stderr}`);
  await Promise.all(urls.map((_, i) => waitReady(i)));

  return {
    deployment,
    ports,
    dir,
    documentFile,
    vms,
    standIns,
    urls,
    runCli: operate,
    createKey: async (workspace) => {
      const given = await operate('keys', 'give', workspace);
      if (given.code !== 0) throw new Error(`keys give failed: ${given.stdout}${given.stderr}`);
      return JSON.parse(given.stdout) as { id: string; key: string };
    },
    startVm: async (index) => {
      launchVm(index);
      await waitReady(index);
    },
    setFaults: async (port, faults) => {
      const res = await request(controlUrl(port, 'faults'), {
        method: 'POST',
        body: JSON.stringify(faults),
      });
      await res.body.dump();
    },
    readControl: async <T>(port: number, what: string) => {
      const res = await request(controlUrl(port, what));
      return (await res.body.json()) as T;
    },
    stop: async () => {
      const all = [...vms, ...standIns];
      all.forEach((p) => p.child.kill('SIGCONT'));
      all.forEach((p) => p.child.kill('SIGKILL'));
      await Promise.all(all.map((p) => p.exited));
    },
  };
};
