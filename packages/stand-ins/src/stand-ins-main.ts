import { startStandIn, type StandInSpec } from './stand-in-spec.js';

const specs = JSON.parse(process.argv[2] ?? '[]') as StandInSpec[];
const standIns = await Promise.all(specs.map(startStandIn));
process.stdout.write(`${JSON.stringify({ urls: standIns.map((s) => s.url) })}\n`);
