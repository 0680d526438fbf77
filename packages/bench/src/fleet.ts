import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type { EngineOptions } from '@hemlocksill/stand-ins/engine-types.js';
import { reservePorts } from '@hemlocksill/stand-ins/reserve-ports.js';
import {
  assembleDocument,
  assembleEntrySettings,
  assembleOperatorSettings,
  assembleStandIns,
  countPorts,
  assignPorts,
  defaultDocumentOptions,
  type Deployment,
  type DeploymentPorts,
  type DocumentOptions,
} from './deployment.js';
import {
  programs,
  runProgram,
  startProgram,
  type ProgramOutput,
  type StartedProcess,
} from './processes.js';

const environment = 'production';
const startTimeoutMs = 20_000;
const pollIntervalMs = 50;

/** A deployment whose processes run on this machine. */
export interface Fleet {
  readonly deployment: Deployment;
  readonly ports: DeploymentPorts;
  readonly dir: string;
  readonly documentFile: string;
  readonly vms: StartedProcess[];
  readonly standIns: StartedProcess[];
  /** Base URL of each VM for callers. */
  readonly urls: readonly string[];
  /** Runs the operators' command line with JSON output. */
  readonly runCli: (...args: string[]) => Promise<ProgramOutput>;
  /** Creates a key for a workspace and returns its id and text. */
  readonly createKey: (workspace: string) => Promise<{ id: string; key: string }>;
  /** Starts the entry process of a VM, for instance after it was killed, and waits until it is ready. */
  readonly startVm: (index: number) => Promise<void>;
  /** Sets faults of the stand-in that listens on a port. */
  readonly setFaults: (port: number, faults: object) => Promise<void>;
  /** Reads a resource of a stand-in's control interface. */
  readonly readControl: <T>(port: number, resource: string) => Promise<T>;
  /** Kills all processes and waits until they have exited. */
  readonly stop: () => Promise<void>;
}

/** Options for starting a fleet. */
export interface FleetOptions {
  readonly documentOptions?: Partial<DocumentOptions>;
  /** Lines appended to the settings of the entry processes. */
  readonly extraEntrySettings?: string;
  /** Program to run as the entry process; its arguments precede the settings file. */
  readonly entryProgram?: { readonly file: string; readonly args: readonly string[] };
  /** Certificate file of the VMs' listeners for callers and operators. */
  readonly tlsCertFile?: string;
  /** Ports to use; free ports by default. */
  readonly ports?: DeploymentPorts;
  /** Text appended to the configuration document. */
  readonly extraDocument?: string;
  /** Engine options that differ from the defaults. */
  readonly engineOptions?: Partial<EngineOptions>;
  /** Run all prefill engines in one process, all decode engines in one and all services in one. */
  readonly groupStandIns?: boolean;
}

/** Accepts the self-signed certificates of tests. */
const insecureAgent = new Agent({ connect: { rejectUnauthorized: false } });

/** Waits until a URL responds with status 200. */
export const waitForUrl = async (url: string, timeoutMs = startTimeoutMs): Promise<void> => {
  const deadline = Date.now() + timeoutMs;
  for (;;) {
    try {
      const res = await request(url, { dispatcher: insecureAgent });
      await res.body.dump();
      if (res.statusCode === 200) return;
    } catch {
      // Not listening yet.
    }
    if (Date.now() > deadline)
      throw new Error(`${url} did not respond with status 200 within ${timeoutMs} ms`);
    await sleep(pollIntervalMs);
  }
};

const getControlUrl = (port: number, resource: string): string =>
  `http://127.0.0.1:${port}/control/${resource}`;

/**
 * Starts the stand-ins and the entry processes of a deployment, submits its configuration document and
 * waits until every VM is ready.
 */
export const startFleet = async (
  deployment: Deployment,
  dir: string,
  opts: FleetOptions,
): Promise<Fleet> => {
  mkdirSync(dir, { recursive: true });
  const documentOptions = { ...defaultDocumentOptions, ...opts.documentOptions };
  const ports = opts.ports ?? assignPorts(deployment, await reservePorts(countPorts(deployment)));
  const documentFile = join(dir, `${environment}.ini`);
  const operatorFile = join(dir, 'operator.ini');
  const document = assembleDocument(deployment, ports, documentOptions);
  const slots = opts.engineOptions?.slots ?? 20;
  writeFileSync(
    documentFile,
    document.replace('slots = 20', `slots = ${slots}`) + (opts.extraDocument ?? ''),
  );
  const caLine = opts.tlsCertFile === undefined ? '' : `tls-ca = ${opts.tlsCertFile}\n`;
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
  await waitForUrl(getControlUrl(ports.store, 'counts'));

  const vms: StartedProcess[] = [];
  const scheme = opts.tlsCertFile === undefined ? 'http' : 'https';
  const urls = ports.vms.map(([callers]) => `${scheme}://127.0.0.1:${callers}`);
  const runCli = (...args: string[]): Promise<ProgramOutput> =>
    runProgram(programs.cli, ['--settings', operatorFile, '--json', ...args]);

  const program = opts.entryProgram ?? { file: programs.entry, args: [] };
  const spawnVm = (index: number): void => {
    const name = `vm-${index + 1}`;
    const args = [...program.args, join(dir, `${name}.ini`)];
    vms[index] = startProgram(name, program.file, args, join(dir, `${name}.log`));
  };
  const waitUntilReady = (index: number): Promise<void> =>
    waitForUrl(`${urls[index]}/hemlocksill/ready`);

  ports.vms.forEach((_, i) => spawnVm(i));
  await Promise.all(urls.map((url) => waitForUrl(`${url}/hemlocksill/health`)));
  const submitted = await runCli('submit', documentFile);
  if (submitted.code !== 0)
    throw new Error(`submit failed: ${submitted.stdout}${submitted.stderr}`);
  await Promise.all(urls.map((_, i) => waitUntilReady(i)));

  return {
    deployment,
    ports,
    dir,
    documentFile,
    vms,
    standIns,
    urls,
    runCli,
    createKey: async (workspace) => {
      const created = await runCli('keys', 'give', workspace);
      if (created.code !== 0)
        throw new Error(`keys give failed: ${created.stdout}${created.stderr}`);
      return JSON.parse(created.stdout) as { id: string; key: string };
    },
    startVm: async (index) => {
      spawnVm(index);
      await waitUntilReady(index);
    },
    setFaults: async (port, faults) => {
      const res = await request(getControlUrl(port, 'faults'), {
        method: 'POST',
        body: JSON.stringify(faults),
      });
      await res.body.dump();
    },
    readControl: async <T>(port: number, resource: string) => {
      const res = await request(getControlUrl(port, resource));
      return (await res.body.json()) as T;
    },
    stop: async () => {
      const processes = [...vms, ...standIns];
      processes.forEach((p) => p.child.kill('SIGCONT'));
      processes.forEach((p) => p.child.kill('SIGKILL'));
      await Promise.all(processes.map((p) => p.exited));
    },
  };
};
