import type { StandInSpec } from '@hemlocksill/stand-ins/stand-in-spec.js';

/** A deployment as the brief of its users sizes it. */
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

/** The two deployments that run today, and a small one for tests. */
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

/** Ports of a deployment on one machine. */
export interface DeploymentPorts {
  readonly store: number;
  readonly prefills: readonly number[];
  readonly decodes: readonly number[];
  readonly services: readonly number[];
  /** Callers, peers and operators of each VM. */
  readonly vms: readonly (readonly [number, number, number])[];
}

/** Number of ports that a deployment needs. */
export const countPorts = (d: Deployment): number =>
  1 + d.prefillCount + d.decodeCount + d.serviceCount + 3 * d.vmCount;

/** Deals a list of ports out to the parts of a deployment. */
export const dealPorts = (d: Deployment, ports: readonly number[]): DeploymentPorts => {
  const left = [...ports];
  const take = (n: number): number[] => left.splice(0, n);
  return {
    store: take(1)[0] ?? 0,
    prefills: take(d.prefillCount),
    decodes: take(d.decodeCount),
    services: take(d.serviceCount),
    vms: Array.from({ length: d.vmCount }, () => take(3) as [number, number, number]),
  };
};

/** Changes of a document for a run. */
export interface DocumentOptions {
  readonly version: string;
  readonly fencing: (index: number) => boolean;
  readonly limits: string;
  readonly rateFactor: number;
}

/** Options of an ordinary run. */
export const usualOptions: DocumentOptions = {
  version: 'v1',
  fencing: (index) => index % 2 === 0,
  limits: '',
  rateFactor: 1,
};

const pickDataCentre = (d: Deployment, i: number): string =>
  d.dataCentres[i % d.dataCentres.length] ?? '';

const assembleServer = (
  name: string,
  role: string,
  runs: string,
  port: number,
  dataCentre: string,
  fencing: boolean,
): string =>
  `[backend-server ${name}]
role = ${role}
${runs}
url = http://127.0.0.1:${port}
data-centre = ${dataCentre}
fencing = ${fencing ? 'yes' : 'no'}
`;

/** Assembles the configuration document of a deployment. */
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
  const makeServers = (role: string, runs: string, list: readonly number[]): string[] =>
    list.map((port, i) =>
      assembleServer(`${role}-${i + 1}`, role, runs, port, pickDataCentre(d, i), opts.fencing(i)),
    );
  return [
    `[limits]\n${opts.limits}`,
    ...workspaces,
    pool,
    ...makeServers('prefill', `model = ${d.model}`, ports.prefills),
    ...makeServers('decode', `model = ${d.model}`, ports.decodes),
    ...makeServers('service', `service = ${d.serviceName}`, ports.services),
    d.routes,
  ].join('\n');
};

/** Secrets of the samples; a real deployment makes its own. */
export const sampleSecrets = {
  peer: 'sample-peer-secret-0000',
  operator: 'sample-operator-secret',
} as const;

/** Assembles the settings of each entry process. */
export const assembleEntrySettings = (
  d: Deployment,
  ports: DeploymentPorts,
  environment: string,
  extra: string,
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
${extra}`;
  });

/** Assembles the settings of the operators' command line. */
export const assembleOperatorSettings = (ports: DeploymentPorts, environment: string): string =>
  `[operator]
environment = ${environment}
stores = http://127.0.0.1:${ports.store}
operator-secrets = ${sampleSecrets.operator}
`;

/** Lists the stand-ins of a deployment, one group for each process. */
export const assembleStandIns = (
  d: Deployment,
  ports: DeploymentPorts,
  opts: DocumentOptions,
): StandInSpec[][] => {
  const makeEngines = (role: 'prefill' | 'decode', list: readonly number[]): StandInSpec[] =>
    list.map((port, i) => ({
      kind: 'engine',
      role,
      name: `${role}-${i + 1}`,
      model: d.model,
      port,
      fencing: opts.fencing(i),
    }));
  return [
    [{ kind: 'store', port: ports.store }],
    ...makeEngines('prefill', ports.prefills).map((e) => [e]),
    ...makeEngines('decode', ports.decodes).map((e) => [e]),
    ...ports.services.map((port): StandInSpec[] => [{ kind: 'service', port }]),
  ];
};
