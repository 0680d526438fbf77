import type { PlacementRequest } from './pool-types.js';

interface Flow {
  readonly items: PlacementRequest[];
  /** Cost served so far, divided by weight. */
  virtualTime: number;
}

/** A queue that serves workspaces in proportion to their weights. */
export interface FairQueue {
  readonly push: (item: PlacementRequest) => void;
  /** The item that is next in turn. */
  readonly peek: () => PlacementRequest | undefined;
  /** Removes the item that is next in turn and charges its cost to its workspace. */
  readonly take: (cost: number) => PlacementRequest | undefined;
  readonly remove: (id: string) => PlacementRequest | undefined;
  readonly removeWhere: (test: (item: PlacementRequest) => boolean) => PlacementRequest[];
  readonly size: () => number;
  /**
   * Counts the items that would be served before a new item of a workspace, and the prompt
   * tokens of those that are its own.
   */
  readonly rankNext: (workspace: string) => { readonly ahead: number; readonly ownTokens: number };
  /** Prompt tokens of all items. */
  readonly promptTokens: () => number;
  /**
   * Removes each item for which `test` holds, given the number of items that would be
   * served before it and the prompt tokens of those that are of its own workspace.
   */
  readonly removeByRank: (
    test: (item: PlacementRequest, ahead: number, ownTokens: number) => boolean,
  ) => PlacementRequest[];
}

/**
 * Makes a start-time fair queue over workspaces.
 *
 * A workspace that was idle starts at the current virtual time, so that idling earns no
 * credit and flooding delays only the flooder.
 *
 * @example
 * const queue = makeFairQueue();
 * queue.push(item);
 * queue.take(100); // item
 */
export const makeFairQueue = (): FairQueue => {
  const flows = new Map<string, Flow>();
  const lastTimes = new Map<string, number>();
  let virtualNow = 0;
  let size = 0;
  let tokens = 0;

  const nextFlow = (): [string, Flow] | undefined => {
    let best: [string, Flow] | undefined;
    flows.forEach((flow, workspace) => {
      if (!best || flow.virtualTime < best[1].virtualTime) best = [workspace, flow];
    });
    return best;
  };

  const dropIfEmpty = (workspace: string, flow: Flow): void => {
    if (flow.items.length > 0) return;
    flows.delete(workspace);
    lastTimes.set(workspace, flow.virtualTime);
  };

  const forgetIdle = (): void => {
    lastTimes.forEach((time, workspace) => {
      if (time <= virtualNow) lastTimes.delete(workspace);
    });
  };

  const removeWhere = (test: (item: PlacementRequest) => boolean): PlacementRequest[] => {
    const removed: PlacementRequest[] = [];
    flows.forEach((flow, workspace) => {
      const kept = flow.items.filter((item) => {
        if (!test(item)) return true;
        removed.push(item);
        return false;
      });
      if (kept.length === flow.items.length) return;
      flow.items.splice(0, flow.items.length, ...kept);
      dropIfEmpty(workspace, flow);
    });
    size -= removed.length;
    removed.forEach((item) => {
      tokens -= item.promptTokens;
    });
    return removed;
  };

  const countBefore = (flow: Flow, position: number): number => {
    let ahead = position;
    flows.forEach((other) => {
      if (other !== flow) ahead += Math.min(other.items.length, position + 1);
    });
    return ahead;
  };

  const removeByRank: FairQueue['removeByRank'] = (test) => {
    const late = new Set<string>();
    flows.forEach((flow) => {
      let position = 0;
      let ownTokens = 0;
      flow.items.forEach((item) => {
        if (test(item, countBefore(flow, position), ownTokens)) {
          late.add(item.id);
          return;
        }
        position += 1;
        ownTokens += item.promptTokens;
      });
    });
    return late.size === 0 ? [] : removeWhere((item) => late.has(item.id));
  };

  return {
    removeByRank,
    push: (item) => {
      const known = flows.get(item.workspace);
      const flow = known ?? {
        items: [],
        virtualTime: Math.max(virtualNow, lastTimes.get(item.workspace) ?? 0),
      };
      flow.items.push(item);
      flows.set(item.workspace, flow);
      size += 1;
      tokens += item.promptTokens;
    },
    peek: () => nextFlow()?.[1].items[0],
    take: (cost) => {
      const next = nextFlow();
      if (!next) return undefined;
      const [workspace, flow] = next;
      const item = flow.items.shift();
      if (!item) return undefined;
      virtualNow = flow.virtualTime;
      flow.virtualTime += cost / item.weight;
      size -= 1;
      tokens -= item.promptTokens;
      dropIfEmpty(workspace, flow);
      if (lastTimes.size > 1_024) forgetIdle();
      return item;
    },
    remove: (id) => removeWhere((item) => item.id === id)[0],
    removeWhere,
    size: () => size,
    rankNext: (workspace) => {
      const own = flows.get(workspace) ?? { items: [], virtualTime: 0 };
      const ownTokens = own.items.reduce((sum, item) => sum + item.promptTokens, 0);
      return { ahead: countBefore(own, own.items.length), ownTokens };
    },
    promptTokens: () => tokens,
  };
};
