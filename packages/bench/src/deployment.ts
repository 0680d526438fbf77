import type { StandInSpec } from '@hemlocksill/stand-ins/stand-in-spec.js';

/** Size, workspaces and routes of a deployment. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly dataCentres: readonly string[];
  readonly model: string;
  readonly prefillCount: number;
  readonly decodeCount: number;
  readonly serviceName: string;
  readonly serviceCount: number;
  readonly vmCount: number;
  /** Name, rate, burst and weight of each workspace. */
  readonly workspaces: readonly (readonly [string, number, number, number])[];
  readonly routes: string;
}

const saaremetsRoutes = `
[route confirm-order]
method = POST
path = /orders/:id/confirm
service = order-desk
class = urgent
idempotent = no
cost = 1

[route reserve-stock]
method = POST
path = /stock/:billet/reservations
service = order-desk
class = urgent
idempotent = no
cost = 1

[route read-stock]
method = GET
path = /stock/:billet
service = order-desk
class = urgent
idempotent = yes
cost = 1

[route price-list]
method = GET
path = /price-list
service = order-desk
class = patient
idempotent = yes
open = yes
cost = 0
`;

const turnolibreRoutes = `
[route confirm-swap]
method = POST
path = /swaps/:id/confirm
service = rota
class = urgent
idempotent = no
cost = 1

[route read-rota]
method = GET
path = /rota/:newsroom
service = rota
class = urgent
idempotent = yes
cost = 1
`;

/** The deployments of the two current users, and a small deployment for tests. */
export const deployments: Readonly<Record<'saaremets' | 'turnolibre' | 'small', Deployment>> = {
  saaremets: {
    name: 'saaremets',
    region: 'eu-north',
    dataCentres: ['eu-north-a', 'eu-north-b', 'eu-north-c', 'eu-north-d'],
    model: 'drawing-reader',
    prefillCount: 5,
    decodeCount: 8,
    serviceName: 'order-desk',
    serviceCount: 4,
    vmCount: 8,
    workspaces: [
      ['quotation', 60_000, 240_000, 3],
      ['planning', 40_000, 160_000, 2],
      ['buying', 20_000, 80_000, 1],
      ['order-desk', 10_000, 60_000, 2],
      ['works', 5_000, 40_000, 1],
    ],
    routes: saaremetsRoutes,
  },
  turnolibre: {
    name: 'turnolibre',
    region: 'bogota',
    dataCentres: ['bogota-1', 'bogota-2', 'bogota-3'],
    model: 'assistant',
    prefillCount: 3,
    decodeCount: 5,
    serviceName: 'rota',
    serviceCount: 3,
    vmCount: 6,
    workspaces: [
      ['el-faro', 30_000, 120_000, 1],
      ['la-plaza', 30_000, 120_000, 1],
      ['noticias-del-valle', 15_000, 60_000, 1],
      ['radio-sur', 8_000, 40_000, 1],
      ['canal-norte', 8_000, 40_000, 1],
    ],
    routes: turnolibreRoutes,
  },
  small: {
    name: 'small',
    region: 'eu-north',
    dataCentres: ['eu-north-a', 'eu-north-b'],
    model: 'drawing-reader',
    prefillCount: 2,
    decodeCount: 2,
    serviceName: 'order-desk',
    serviceCount: 2,
    vmCount: 3,
    workspaces: [
      ['quotation', 40_000, 120_000, 2],
      ['planning', 20_000, 60_000, 1],
    ],
    routes: saaremetsRoutes,
  },
};

/** Ports of a deployment whose processes all run on one machine. */
export interface DeploymentPorts {
  readonly store: number;
  readonly prefills: readonly number[];
  readonly decodes: readonly number[];
  readonly services: readonly number[];
  /** Ports for callers, peers and operators of each VM. */
  readonly vms: readonly (readonly [number, number, number])[];
}

/** Number of ports that a deployment needs. */
export const countPorts = (d: Deployment): number =>
  1 + d.prefillCount + d.decodeCount + d.serviceCount + 3 * d.vmCount;

/** Assigns a list of ports, in order, to the processes of a deployment. */
export const assignPorts = (d: Deployment, ports: readonly number[]): DeploymentPorts => {
  const remainingPorts = [...ports];
  const takeNext = (n: number): number[] => remainingPorts.splice(0, n);
  return {
    store: takeNext(1)[0] ?? 0,
    prefills: takeNext(d.prefillCount),
    decodes: takeNext(d.decodeCount),
    services: takeNext(d.serviceCount),
    vms: Array.from({ length: d.vmCount }, () => takeNext(3) as [number, number, number]),
  };
};

/** Options of the configuration document of a run. */
export interface DocumentOptions {
  readonly version: string;
  /** Whether the backend server with this index of its role supports fencing. */
  readonly supportsFencing: (index: number) => boolean;
  /** Lines of the `[limits]` section. */
  readonly limits: string;
  /** Factor on the rate and burst of each workspace. */
  readonly rateFactor: number;
}

/** Default options: every other backend server supports fencing, and the rates are unchanged. */
export const defaultDocumentOptions: DocumentOptions = {
  version: 'v1',
  supportsFencing: (index) => index % 2 === 0,
  limits: '',
  rateFactor: 1,
};

const pickDataCentre = (d: Deployment, i: number): string =>
  d.dataCentres[i % d.dataCentres.length] ?? '';

const assembleServer = (
  name: string,
  role: string,
  targetLine: string,
  port: number,
  dataCentre: string,
  supportsFencing: boolean,
): string =>
  `[backend-server ${name}]
role = ${role}
${targetLine}
url = http://127.0.0.1:${port}
data-centre = ${dataCentre}
fencing = ${supportsFencing ? 'yes' : 'no'}
`;

/** Assembles the configuration document of a deployment as INI text. */
export const assembleDocument = (
  d: Deployment,
  ports: DeploymentPorts,
  opts: DocumentOptions,
): string => {
  const workspaces = d.workspaces.map(
    ([name, rate, burst, weight]) =>
      `[workspace ${name}]
rate = ${Math.round(rate * opts.rateFactor)}
burst = ${Math.round(burst * opts.rateFactor)}
weight = ${weight}
`,
  );
  const pool = `[pool ${d.model}]
version = ${opts.version}
slots = 20
prefill-rate = 20000
piece-tokens = 2048
patient-share = 0.3
max-prompt-tokens = 32000
max-output-tokens = 2048
urgent-first-token-ms = 2000
urgent-between-tokens-ms = 36
patient-first-token-ms = 10000
patient-between-tokens-ms = 36
`;
  const assembleServers = (
    role: string,
    targetLine: string,
    serverPorts: readonly number[],
  ): string[] =>
    serverPorts.map((port, i) =>
      assembleServer(
        `${role}-${i + 1}`,
        role,
        targetLine,
        port,
        pickDataCentre(d, i),
        opts.supportsFencing(i),
      ),
    );
  return [
    `[limits]\n${opts.limits}`,
    ...workspaces,
    pool,
    ...assembleServers('prefill', `model = ${d.model}`, ports.prefills),
    ...assembleServers('decode', `model = ${d.model}`, ports.decodes),
    ...assembleServers('service', `service = ${d.serviceName}`, ports.services),
    d.routes,
  ].join('\n');
};

/** Secrets of the sample settings, for local use only; a real deployment must generate its own. */
export const sampleSecrets = {
  peer: 'sample-peer-secret-0000',
  operator: 'sample-operator-secret',
} as const;

/** Assembles the settings of each entry process as INI text, with `extraLines` at the end. */
export const assembleEntrySettings = (
  d: Deployment,
  ports: DeploymentPorts,
  environment: string,
  extraLines: string,
): string[] =>
  ports.vms.map(([callers, peers, operators], i) => {
    const seeds = ports.vms
      .filter((_, other) => other !== i)
      .map(([, peer]) => `127.0.0.1:${peer}`)
      .join(', ');
    return `[entry]
environment = ${environment}
stores = http://127.0.0.1:${ports.store}
vm = vm-${i + 1}
region = ${d.region}
data-centre = ${pickDataCentre(d, i)}
callers = 127.0.0.1:${callers}
peers = 127.0.0.1:${peers}
operators = 127.0.0.1:${operators}
peer-secrets = ${sampleSecrets.peer}
operator-secrets = ${sampleSecrets.operator}
seeds = ${seeds}
${extraLines}`;
  });

/** Assembles the settings of the operators' command line. */
export const assembleOperatorSettings = (ports: DeploymentPorts, environment: string): string =>
  `[operator]
environment = ${environment}
stores = http://127.0.0.1:${ports.store}
operator-secrets = ${sampleSecrets.operator}
`;

/** Lists the stand-ins of a deployment in groups; each group runs in a process of its own. */
export const assembleStandIns = (
  d: Deployment,
  ports: DeploymentPorts,
  opts: DocumentOptions,
): StandInSpec[][] => {
  const assembleEngines = (
    role: 'prefill' | 'decode',
    enginePorts: readonly number[],
  ): StandInSpec[] =>
    enginePorts.map((port, i) => ({
      kind: 'engine',
      role,
      name: `${role}-${i + 1}`,
      model: d.model,
      port,
      fencing: opts.supportsFencing(i),
    }));
  return [
    [{ kind: 'store', port: ports.store }],
    ...assembleEngines('prefill', ports.prefills).map((e) => [e]),
    ...assembleEngines('decode', ports.decodes).map((e) => [e]),
    ...ports.services.map((port): StandInSpec[] => [{ kind: 'service', port }]),
  ];
};
