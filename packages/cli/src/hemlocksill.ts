#!/usr/bin/env node
import { readFileSync, writeFileSync } from 'node:fs';
import { Command } from 'commander';
import { readOperatorSettings } from '@hemlocksill/config/settings.js';
import {
  checkDocument,
  diffDocument,
  addKey,
  listKeys,
  makeCommandContext,
  promoteDocument,
  reportBurn,
  settleWrite,
  showDocument,
  showStatus,
  submitDocument,
  withdrawKey,
  type CommandContext,
} from './commands.js';
import { explainRequest } from './explain-request.js';
import { exitCodes, type CommandResult } from './exit-codes.js';

const defaultWaitMs = 10_000;

interface GlobalOptions {
  readonly settings: string;
  readonly json?: boolean;
  readonly wait: string;
}

const program = new Command();
program
  .name('hemlocksill')
  .description(
    'Manages the configuration document and keys of hemlocksill and shows the state of its VMs.',
  )
  .option('-s, --settings <file>', 'operator settings of the environment', 'operator.ini')
  .option('--json', 'print the result as JSON')
  .option(
    '--wait <ms>',
    'how long to wait for all VMs to confirm a change, in milliseconds',
    String(defaultWaitMs),
  )
  .addHelpText(
    'after',
    `
Examples:
  hemlocksill check production.ini
  hemlocksill -s trial.operator.ini submit trial.ini
  hemlocksill -s trial.operator.ini promote --to production.operator.ini
  hemlocksill keys give forge
  hemlocksill report --html burn.html
  hemlocksill explain 9c41d07be2a35f68 vm-1.log vm-2.log

Exit codes: 0 done, 1 fault, 2 bad input, 3 superseded by another operator,
4 store down and nothing changed, 5 outcome unknown, 6 accepted but not confirmed by every VM.`,
  )
  .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : exitCodes.badInput));

const readFile = (file: string): string => {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    return process.exit(exitCodes.badInput);
  }
};

const loadContext = (file: string): CommandContext => {
  const settings = readOperatorSettings(readFile(file));
  if (settings.isOk()) return makeCommandContext(settings.value);
  process.stderr.write(`${file}:\n${settings.error.message}\n`);
  return process.exit(exitCodes.badInput);
};

const printAndExit = (result: CommandResult): void => {
  const { json } = program.opts<GlobalOptions>();
  process.stdout.write(`${json ? JSON.stringify(result.json, null, 2) : result.text}\n`);
  process.exit(result.code);
};

const getGlobalOptions = (): GlobalOptions => program.opts<GlobalOptions>();
const loadDefaultContext = (): CommandContext => loadContext(getGlobalOptions().settings);
const parseWaitMs = (): number => {
  const waitMs = Number(getGlobalOptions().wait);
  if (Number.isFinite(waitMs) && waitMs >= 0) return waitMs;
  process.stderr.write('--wait must be a number of milliseconds, 0 or more\n');
  return process.exit(exitCodes.badInput);
};

program
  .command('check <file>')
  .description('validate a document and list every problem')
  .action((file: string) => printAndExit(checkDocument(readFile(file))));

program
  .command('show')
  .description('print the document in force')
  .action(async () => printAndExit(await showDocument(loadDefaultContext())));

program
  .command('diff <file>')
  .description('compare a document with the document in force')
  .action(async (file: string) =>
    printAndExit(await diffDocument(loadDefaultContext(), readFile(file))),
  );

program
  .command('submit <file>')
  .description('put a document into force')
  .option('--base <revision>', 'fail unless this document revision is in force')
  .action(async (file: string, options: { base?: string }) => {
    const base = options.base === undefined ? undefined : Number(options.base);
    printAndExit(await submitDocument(loadDefaultContext(), readFile(file), base, parseWaitMs()));
  });

program
  .command('promote')
  .description('put the document of this environment into force in another environment')
  .requiredOption('--to <file>', 'operator settings of the other environment')
  .action(async (options: { to: string }) => {
    printAndExit(
      await promoteDocument(loadDefaultContext(), loadContext(options.to), parseWaitMs()),
    );
  });

program
  .command('settle <write-id>')
  .description('report whether a change whose response was lost took effect')
  .action(async (writeId: string) =>
    printAndExit(await settleWrite(loadDefaultContext(), writeId)),
  );

program
  .command('status')
  .description('show the status of every VM')
  .action(async () => printAndExit(await showStatus(loadDefaultContext())));

program
  .command('report')
  .description('show the service-level burn of all VMs')
  .option('--html <file>', 'also write an HTML page with charts')
  .action(async (options: { html?: string }) => {
    const { result, html } = await reportBurn(loadDefaultContext());
    if (options.html !== undefined && html !== '') writeFileSync(options.html, html);
    printAndExit(result);
  });

program
  .command('explain <id> [logs...]')
  .description(
    'print the trail of a request from log files, or from standard input if none are given',
  )
  .action((id: string, files: string[]) => {
    const texts = files.length > 0 ? files.map(readFile) : [readFileSync(0, 'utf8')];
    printAndExit(explainRequest(texts.join('\n').split('\n'), id));
  });

const keysCommand = program.command('keys').description('create, withdraw and list keys');
keysCommand
  .command('give <workspace>')
  .description('create a key for a workspace; its text is printed only now')
  .action(async (workspace: string) =>
    printAndExit(await addKey(loadDefaultContext(), workspace, parseWaitMs())),
  );
keysCommand
  .command('withdraw <key-id>')
  .description('withdraw a key')
  .action(async (keyId: string) =>
    printAndExit(await withdrawKey(loadDefaultContext(), keyId, parseWaitMs())),
  );
keysCommand
  .command('list')
  .description('list keys')
  .action(async () => printAndExit(await listKeys(loadDefaultContext())));

await program.parseAsync();
