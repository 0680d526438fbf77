import type { BlockChange } from '@hemlocksill/routing/crash-suspects.js';
import type { LogRouterEvent } from './events.js';

/** Logs that a part of prompts became blocked or was released. */
export const logBlockChange = (log: LogRouterEvent, change: BlockChange): void => {
  if (change.kind === 'released') log(2311, { part: change.part, reason: change.reason });
  else
    log(2310, {
      part: change.part,
      incidents: change.instances.length,
      instances: change.instances,
    });
};
