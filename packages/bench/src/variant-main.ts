import { readFileSync } from 'node:fs';
import bunyan from 'bunyan';
import { Command } from 'commander';
import { readEntrySettings } from '@hemlocksill/config/settings.js';
import { startEntry, type EntryOverrides } from '@hemlocksill/entry/start-entry.js';
import { makeLocalClaims } from './naive/local-claims.js';
import { makeLocalPools, type LocalPlacementPolicy } from './naive/local-pools.js';
import { makeLocalRate, type LocalRatePolicy } from './naive/local-rate.js';
import { makeStoreRate } from './naive/store-rate.js';

interface VariantOptions {
  readonly placement?: LocalPlacementPolicy;
  readonly rate?: LocalRatePolicy | 'store';
  readonly claims?: 'local';
  readonly vms: string;
}

const program = new Command()
  .name('variant')
  .description('runs an entry process in which parts are replaced by baseline implementations')
  .option('--placement <policy>')
  .option('--rate <policy>')
  .option('--claims <policy>')
  .option('--vms <n>', 'number of VMs', '1')
  .argument('<settings>')
  .parse();

const opts = program.opts<VariantOptions>();
const settings = readEntrySettings(readFileSync(program.args[0] ?? '', 'utf8'));
if (settings.isErr()) throw settings.error;

const chooseRate = (): EntryOverrides['makeRate'] => {
  if (opts.rate === undefined) return undefined;
  return opts.rate === 'store'
    ? makeStoreRate(settings.value.storeUrls)
    : makeLocalRate(opts.rate, Number(opts.vms));
};

const entry = await startEntry(
  settings.value,
  bunyan.createLogger({ name: 'variant', level: settings.value.logLevel }),
  {
    makePools: opts.placement === undefined ? undefined : makeLocalPools(opts.placement),
    makeRate: chooseRate(),
    makeClaims: opts.claims === undefined ? undefined : makeLocalClaims,
  },
);
process.on('SIGTERM', () => {
  entry.shutDown().then(
    () => process.exit(0),
    () => process.exit(1),
  );
});
