import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { BackendClient } from '@hemlocksill/types/routing-ports.js';
import type { LogRouterEvent } from './events.js';

/** Shortest time between two checks of a backend server. */
const minCheckGapMs = 500;

/** Time for which the result of a check is kept. */
const resultTtlMs = 60_000;

/** What the checks of a listed instance found. */
interface CheckRecord {
  /** Start time of the instance that answered last; undefined if it has ended since. */
  startedAt: number | undefined;
  lastCheckAt: number;
  /** Time of the last check that found that the instance had ended. */
  endedAt: number;
  /** Called once the check in progress is answered. */
  waiting: (() => void)[] | undefined;
}

/** Checks whether backend servers whose entries have not changed have ended. */
export interface InstanceChecks {
  /** Calls `onEnded` if the server has ended since `since`, as far as it can be told now. */
  readonly check: (server: BackendServer, since: number, onEnded: () => void) => void;
}

/** Dependencies of the checks. */
export interface InstanceCheckDeps {
  readonly checkInstance: BackendClient['checkInstance'];
  readonly log: LogRouterEvent;
  readonly now: () => number;
}

/**
 * Makes the checks of a VM. The entry of a server that crashed and came back under its id may show the instance
 * before for seconds, or as long as the store is out; the server itself knows.
 *
 * @example
 * makeInstanceChecks(deps).check(server, sentAt, () => recordCrash(server));
 */
export const makeInstanceChecks = ({
  checkInstance,
  log,
  now,
}: InstanceCheckDeps): InstanceChecks => {
  const records = new Map<string, CheckRecord>();

  const getRecord = ({ id, startedAt }: BackendServer): CheckRecord => {
    const key = `${id}@${startedAt}`;
    const record = records.get(key);
    if (record) return record;
    records.forEach(({ lastCheckAt, waiting }, other) => {
      if (!waiting && now() - lastCheckAt > resultTtlMs) records.delete(other);
    });
    const created = {
      startedAt,
      lastCheckAt: Number.NEGATIVE_INFINITY,
      endedAt: Number.NEGATIVE_INFINITY,
      waiting: undefined,
    };
    records.set(key, created);
    return created;
  };

  const startCheck = (server: BackendServer, record: CheckRecord, onDone: () => void): void => {
    const checkedAt = now();
    record.lastCheckAt = checkedAt;
    record.waiting = [onDone];
    checkInstance(server, (result) => {
      const foundStartedAt = result.kind === 'running' ? result.startedAt : undefined;
      const hasEnded =
        result.kind === 'ended' ||
        (foundStartedAt !== undefined && foundStartedAt !== record.startedAt);
      if (hasEnded) record.endedAt = checkedAt;
      if (result.kind === 'running' || result.kind === 'ended') {
        record.startedAt = foundStartedAt;
        log(2324, { server: server.id, startedAt: server.startedAt, foundStartedAt, hasEnded });
      }
      const { waiting = [] } = record;
      record.waiting = undefined;
      waiting.forEach((callback) => callback());
    });
  };

  return {
    check: (server, since, onEnded) => {
      const record = getRecord(server);
      const finish = (): void => {
        if (record.endedAt >= since) onEnded();
      };
      if (record.endedAt >= since) {
        onEnded();
        return;
      }
      if (record.waiting) record.waiting.push(finish);
      else if (now() - record.lastCheckAt >= minCheckGapMs) startCheck(server, record, finish);
    },
  };
};
