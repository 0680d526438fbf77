import { startStandIn, type StandInSpec } from './stand-in-spec.js';

const specs = JSON.parse(process.argv[2] ?? '[]') as StandInSpec[];
const started = await Promise.all(specs.map(startStandIn));
process.stdout.write(`${JSON.stringify({ urls: started.map((s) => s.url) })}\n`);
