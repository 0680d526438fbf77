import {
  assembleDocument,
  assembleEntrySettings,
  assembleOperatorSettings,
  countPorts,
  assignPorts,
  deployments,
  defaultDocumentOptions,
  type Deployment,
  type DeploymentPorts,
} from './deployment.js';

/** First port of each sample deployment. */
export const firstPorts = { saaremets: 17_000, turnolibre: 18_000 } as const;

/** Returns the consecutive ports that a sample deployment uses. */
export const getSamplePorts = (d: Deployment, firstPort: number): DeploymentPorts =>
  assignPorts(
    d,
    Array.from({ length: countPorts(d) }, (_, i) => firstPort + i),
  );

const assembleDeploymentSamples = (d: Deployment, firstPort: number): [string, string][] => {
  const ports = getSamplePorts(d, firstPort);
  const settings = assembleEntrySettings(d, ports, 'production', '');
  return [
    [`${d.name}/production.ini`, assembleDocument(d, ports, defaultDocumentOptions)],
    [`${d.name}/operator.ini`, assembleOperatorSettings(ports, 'production')],
    [`${d.name}/trial.operator.ini`, assembleOperatorSettings(ports, 'trial')],
    ...settings.map((text, i): [string, string] => [`${d.name}/vm-${i + 1}.ini`, text]),
  ];
};

/** Assembles the sample documents and settings; the keys are file names relative to `samples`. */
export const assembleSamples = (): Map<string, string> =>
  new Map([
    ...assembleDeploymentSamples(deployments.saaremets, firstPorts.saaremets),
    ...assembleDeploymentSamples(deployments.turnolibre, firstPorts.turnolibre),
  ]);
