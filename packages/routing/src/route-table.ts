import type {
  Route,
  RoutedWorkspace,
  RoutingConfig,
  ServiceInfo,
} from '@hemlocksill/types/routing.js';

/** Lookups in the current configuration. */
export interface RouteTable {
  readonly config: RoutingConfig;
  /** Returns the route of the host with the longest prefix that matches the path. */
  readonly match: (host: string, path: string) => Route | undefined;
  readonly findWorkspace: (key: string) => RoutedWorkspace | undefined;
  readonly findService: (name: string) => ServiceInfo | undefined;
  /** Whether the streams of a service come by routes of several priorities. */
  readonly hasStreamClasses: (service: string) => boolean;
}

/** Removes the port from a Host header and converts the name to lower case. */
const normaliseHost = (host: string): string => host.replace(/:\d+$/, '').toLowerCase();

/** Lists the services whose streams come by routes of several priorities. */
const listClassedServices = (routes: readonly Route[]): ReadonlySet<string> => {
  const priorities = new Map<string, number>();
  const classed = new Set<string>();
  routes.forEach(({ kind, priority, split }) => {
    if (kind !== 'stream') return;
    split.forEach(({ service }) => {
      if ((priorities.get(service) ?? priority) !== priority) classed.add(service);
      priorities.set(service, priority);
    });
  });
  return classed;
};

/**
 * Builds the lookup tables of a configuration.
 *
 * @example
 * buildRouteTable(config).match('shop.example', '/orders/17')?.name;
 */
export const buildRouteTable = (config: RoutingConfig): RouteTable => {
  const byHost = new Map<string, Map<string, Route>>();
  config.routes.forEach((route) => {
    const host = normaliseHost(route.host);
    const routes = byHost.get(host) ?? new Map<string, Route>();
    routes.set(route.pathPrefix, route);
    byHost.set(host, routes);
  });
  const byKey = new Map<string, RoutedWorkspace>();
  config.workspaces?.forEach((workspace) =>
    workspace.keys.forEach((key) => byKey.set(key, workspace)),
  );
  const services = new Map(config.services.map((service) => [service.name, service]));
  const classedServices = listClassedServices(config.routes);
  return {
    config,
    match: (host, path) => {
      const routes = byHost.get(normaliseHost(host));
      if (!routes) return undefined;
      const queryStart = path.indexOf('?');
      const pathname = queryStart < 0 ? path : path.slice(0, queryStart);
      for (
        let end = pathname.lastIndexOf('/');
        end >= 0;
        end = pathname.lastIndexOf('/', end - 1)
      ) {
        const route = routes.get(pathname.slice(0, end + 1));
        if (route) return route;
        if (end === 0) return undefined;
      }
      return undefined;
    },
    findWorkspace: (key) => byKey.get(key),
    findService: (name) => services.get(name),
    hasStreamClasses: (service) => classedServices.has(service),
  };
};

/**
 * Chooses a service of a split route at random, in proportion to the weights.
 *
 * @param random - a random number in [0, 1)
 * @example
 * chooseService(route, Math.random()); // 'spec-readers'
 */
export const chooseService = (route: Route, random: number): string | undefined => {
  const totalWeight = route.split.reduce((sum, target) => sum + target.weight, 0);
  let remaining = random * totalWeight;
  const chosen = route.split.find((target) => {
    remaining -= target.weight;
    return remaining < 0;
  });
  return chosen?.service;
};
