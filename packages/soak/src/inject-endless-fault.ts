import { setTimeout as sleep } from 'node:timers/promises';
import { makeRawRequest } from '@hemlocksill/platform/fakes/endless-process.js';
import { getStartedAt } from '@hemlocksill/platform/fakes/stand-in-backend-server.js';
import {
  registerBackendServer,
  removeBackendServer,
} from '@hemlocksill/platform/fakes/stand-in-platform.js';
import { callerTimeoutMs } from './check-promises.js';
import type { EndlessFault } from './endless-faults.js';
import type { EndlessServer } from './endless-servers.js';
import type { ProxiedServer, SoakEnvironment } from './start-environment.js';

/** Interval between two requests of a caller that holds its connections open, and for how long it does. */
const holderGapMs = 400;
const holdForMs = 8_000;

/** Servers that answer without an end under the id of a sound one, whose entry has their address. */
const turnedServers = new WeakSet<ProxiedServer>();

const behave = (fault: EndlessFault, server: EndlessServer, startedAt: number): void => {
  const { stage, part, forms, statuses } = fault;
  server.behave({ stage, part, forms, statuses, startedAt });
};

/** Has a new server join, and leave when it has been faulty for the time of the fault. */
const addNewcomer = async (
  { platform, endless }: SoakEnvironment,
  fault: EndlessFault,
): Promise<void> => {
  const server = endless?.take();
  if (endless === undefined || server === undefined) return;
  const { service, stage, forMs } = fault;
  const options = { id: server.id, ...(stage === undefined ? {} : { stage }) };
  behave(fault, server, getStartedAt(options));
  registerBackendServer(platform.store, service, { options, port: server.port });
  await sleep(forMs);
  removeBackendServer(platform.store, { options });
  endless.giveBack(server);
};

/** Gives the entry of a sound server the address of a faulty one for the time of the fault. */
const turnServer = async (
  { platform, endless }: SoakEnvironment,
  fault: EndlessFault,
  sound: ProxiedServer,
): Promise<void> => {
  const server = endless?.take();
  if (endless === undefined || server === undefined) return;
  turnedServers.add(sound);
  const { backend, service, proxy } = sound;
  behave(fault, server, getStartedAt(backend.options));
  registerBackendServer(platform.store, service, backend, 'ready', server.port);
  await sleep(fault.forMs);
  // It may have crashed, or have begun to leave, meanwhile.
  if (sound.backend === backend && backend.isListening() && !sound.isLeaving)
    registerBackendServer(platform.store, service, backend, 'ready', proxy.port);
  turnedServers.delete(sound);
  endless.giveBack(server);
};

const chooseTurned = ({ servers }: SoakEnvironment, fault: EndlessFault): ProxiedServer[] => {
  const { service, stage } = fault;
  const candidates = servers.filter(
    (server) =>
      server.service === service &&
      server.backend.options.stage === stage &&
      !server.isLeaving &&
      !turnedServers.has(server),
  );
  const share = fault.servers === 'turned' ? fault.share : 0;
  return candidates.slice(0, Math.max(1, Math.round(candidates.length * share)));
};

const turnOrAdd = async (environment: SoakEnvironment, fault: EndlessFault): Promise<void> => {
  if (fault.servers === 'turned') {
    await Promise.all(
      chooseTurned(environment, fault).map((server) => turnServer(environment, fault, server)),
    );
    return;
  }
  await Promise.all(Array.from({ length: fault.count }, () => addNewcomer(environment, fault)));
};

/** Opens connections of callers that keep them, one request on each. */
const holdConnections = async (
  environment: SoakEnvironment,
  { service, holders, forMs, at }: EndlessFault,
): Promise<void> => {
  const { endless, vms, now, key } = environment;
  const endsAt = now() + forMs;
  const isStream = service === 'llm';
  for (let round = 0; now() < endsAt; round += 1) {
    for (let n = 0; n < holders.count; n += 1) {
      const vm = vms[(n + round) % vms.length];
      if (vm === undefined) return;
      const fields = {
        id: `holder-${at}-${round}-${n}`,
        key,
        timeoutMs: isStream ? callerTimeoutMs.stream : callerTimeoutMs.confirm,
        ...(isStream ? { tokens: [3_000, 60] as const } : {}),
      };
      endless?.call({
        port: vm.process.callersPort,
        head: makeRawRequest('POST', isStream ? '/summary/1' : '/confirm/1', fields),
        isRead: holders.areReading,
        forMs: holdForMs,
      });
    }
    await sleep(holderGapMs);
  }
};

/**
 * Has backend servers answer without an end; resolves when the last one is gone, or is sound again.
 *
 * @example
 * await injectEndlessFault(environment, generateEndlessFault(0, 900, random));
 */
export const injectEndlessFault = async (
  environment: SoakEnvironment,
  fault: EndlessFault,
): Promise<void> => {
  for (let n = 0; n < fault.times; n += 1) {
    await Promise.all([turnOrAdd(environment, fault), holdConnections(environment, fault)]);
    await sleep(fault.pauseMs);
  }
};
