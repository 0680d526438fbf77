import type { PlacementRequest } from './pool-types.js';

/** The queued requests of one workspace. */
interface Flow {
  readonly items: PlacementRequest[];
  /** Cost served so far, divided by weight. */
  virtualTime: number;
}

/** A queue that serves workspaces in proportion to their weights. */
export interface FairQueue {
  readonly push: (item: PlacementRequest) => void;
  /** Returns the next item without removing it. */
  readonly peek: () => PlacementRequest | undefined;
  /** Removes the next item and charges `cost` to its workspace. */
  readonly dequeue: (cost: number) => PlacementRequest | undefined;
  readonly remove: (id: string) => PlacementRequest | undefined;
  readonly removeWhere: (predicate: (item: PlacementRequest) => boolean) => PlacementRequest[];
  readonly size: () => number;
  /**
   * Counts the items that would be served before a new item of a workspace, and the prompt
   * tokens of those that belong to the same workspace.
   */
  readonly rankNewItem: (workspace: string) => {
    readonly ahead: number;
    readonly workspaceTokens: number;
  };
  /** Counts the prompt tokens of all items. */
  readonly countPromptTokens: () => number;
  /**
   * Removes each item that matches `predicate`, given the number of items that would be served
   * before it and the prompt tokens of those that belong to the same workspace.
   */
  readonly removeByRank: (
    predicate: (item: PlacementRequest, ahead: number, workspaceTokens: number) => boolean,
  ) => PlacementRequest[];
}

/**
 * Makes a start-time fair queue over workspaces.
 *
 * A workspace that was idle starts at the current virtual time, so that it gains no credit by
 * being idle. A workspace that sends too many requests delays only its own requests.
 *
 * @example
 * const queue = makeFairQueue();
 * queue.push(item);
 * queue.dequeue(100); // item
 */
export const makeFairQueue = (): FairQueue => {
  const flows = new Map<string, Flow>();
  /** Virtual times of workspaces without items. */
  const idleVirtualTimes = new Map<string, number>();
  let currentVirtualTime = 0;
  let size = 0;
  let queuedTokens = 0;

  const findNextFlow = (): [string, Flow] | undefined => {
    let next: [string, Flow] | undefined;
    flows.forEach((flow, workspace) => {
      if (!next || flow.virtualTime < next[1].virtualTime) next = [workspace, flow];
    });
    return next;
  };

  const removeFlowIfEmpty = (workspace: string, flow: Flow): void => {
    if (flow.items.length > 0) return;
    flows.delete(workspace);
    idleVirtualTimes.set(workspace, flow.virtualTime);
  };

  const pruneIdleTimes = (): void => {
    idleVirtualTimes.forEach((time, workspace) => {
      if (time <= currentVirtualTime) idleVirtualTimes.delete(workspace);
    });
  };

  const removeWhere = (predicate: (item: PlacementRequest) => boolean): PlacementRequest[] => {
    const removed: PlacementRequest[] = [];
    flows.forEach((flow, workspace) => {
      const remaining = flow.items.filter((item) => {
        if (!predicate(item)) return true;
        removed.push(item);
        return false;
      });
      if (remaining.length === flow.items.length) return;
      flow.items.splice(0, flow.items.length, ...remaining);
      removeFlowIfEmpty(workspace, flow);
    });
    size -= removed.length;
    removed.forEach((item) => {
      queuedTokens -= item.promptTokens;
    });
    return removed;
  };

  /** Estimates the number of items served before a position of a flow, if all flows take turns. */
  const countAhead = (flow: Flow, position: number): number => {
    let ahead = position;
    flows.forEach((other) => {
      if (other !== flow) ahead += Math.min(other.items.length, position + 1);
    });
    return ahead;
  };

  const removeByRank: FairQueue['removeByRank'] = (predicate) => {
    const removedIds = new Set<string>();
    flows.forEach((flow) => {
      let position = 0;
      let workspaceTokens = 0;
      flow.items.forEach((item) => {
        if (predicate(item, countAhead(flow, position), workspaceTokens)) {
          removedIds.add(item.id);
          return;
        }
        position += 1;
        workspaceTokens += item.promptTokens;
      });
    });
    return removedIds.size === 0 ? [] : removeWhere((item) => removedIds.has(item.id));
  };

  return {
    removeByRank,
    push: (item) => {
      const existing = flows.get(item.workspace);
      const flow = existing ?? {
        items: [],
        virtualTime: Math.max(currentVirtualTime, idleVirtualTimes.get(item.workspace) ?? 0),
      };
      flow.items.push(item);
      flows.set(item.workspace, flow);
      size += 1;
      queuedTokens += item.promptTokens;
    },
    peek: () => findNextFlow()?.[1].items[0],
    dequeue: (cost) => {
      const next = findNextFlow();
      if (!next) return undefined;
      const [workspace, flow] = next;
      const item = flow.items.shift();
      if (!item) return undefined;
      currentVirtualTime = flow.virtualTime;
      flow.virtualTime += cost / item.weight;
      size -= 1;
      queuedTokens -= item.promptTokens;
      removeFlowIfEmpty(workspace, flow);
      if (idleVirtualTimes.size > 1_024) pruneIdleTimes();
      return item;
    },
    remove: (id) => removeWhere((item) => item.id === id)[0],
    removeWhere,
    size: () => size,
    rankNewItem: (workspace) => {
      const flow = flows.get(workspace) ?? { items: [], virtualTime: 0 };
      const workspaceTokens = flow.items.reduce((sum, item) => sum + item.promptTokens, 0);
      return { ahead: countAhead(flow, flow.items.length), workspaceTokens };
    },
    countPromptTokens: () => queuedTokens,
  };
};
