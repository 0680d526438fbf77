import { readFileSync } from 'node:fs';
import bunyan from 'bunyan';
import { readEntrySettings } from '@hemlocksill/config/settings.js';
import { makeEventLog } from '@hemlocksill/entry/events.js';
import { startEntry } from '@hemlocksill/entry/start-entry.js';

const badInputExitCode = 2;
const faultExitCode = 1;

const loadSettings = (file: string) => readEntrySettings(readFileSync(file, 'utf8'));

const runEntry = async (file: string): Promise<void> => {
  const settings = loadSettings(file);
  if (settings.isErr()) {
    process.stderr.write(`${file}:\n${settings.error.message}\n`);
    process.exitCode = badInputExitCode;
    return;
  }
  const { vm, logLevel } = settings.value;
  const log = bunyan.createLogger({ name: 'hemlocksill-entry', vm, level: logLevel });
  const logEvent = makeEventLog(log);
  const entry = await startEntry(settings.value, log, {});
  const shutDown = (): void => {
    entry.shutDown().then(
      () => process.exit(0),
      () => process.exit(faultExitCode),
    );
  };
  let isShuttingDown = false;
  const onSignal = (): void => {
    // A second signal exits immediately, without waiting for open requests.
    if (isShuttingDown) process.exit(faultExitCode);
    isShuttingDown = true;
    shutDown();
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  process.on('SIGHUP', () => {
    const newSettings = loadSettings(file);
    if (newSettings.isOk()) entry.reload(newSettings.value);
    else logEvent(1008, { reason: newSettings.error.message });
  });
};

const file = process.argv[2];
if (file === undefined) {
  process.stderr.write('usage: hemlocksill-entry SETTINGS.ini\n');
  process.exitCode = badInputExitCode;
} else {
  runEntry(file).catch((error: Error) => {
    process.stderr.write(`${error.message}\n`);
    process.exitCode = faultExitCode;
  });
}
