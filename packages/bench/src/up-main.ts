import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { deployments } from './deployment.js';
import { startFleet } from './fleet.js';
import { firstPorts, getSamplePorts } from './samples.js';

const name = process.argv[2];
if (name !== 'saaremets' && name !== 'turnolibre') {
  console.error('usage: npm run up -- saaremets|turnolibre');
  process.exit(2);
}

const deployment = deployments[name];
const dir = mkdtempSync(join(tmpdir(), 'hemlocksill-up-'));
const fleet = await startFleet(deployment, dir, {
  ports: getSamplePorts(deployment, firstPorts[name]),
});
const workspace = deployment.workspaces[0]?.[0] ?? '';
const { key } = await fleet.createKey(workspace);
console.log(`callers: ${fleet.urls.join(' ')}`);
console.log(`key of ${workspace}: ${key}`);
console.log(`operators: hemlocksill --settings samples/${name}/operator.ini status`);
console.log(`logs in ${dir}; end with Ctrl-C`);
process.on('SIGINT', () => void fleet.stop().then(() => process.exit(0)));
