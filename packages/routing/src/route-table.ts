import type {
  Route,
  RoutedWorkspace,
  RoutingConfig,
  ServiceInfo,
} from '@hemlocksill/types/routing.js';

/** Answers the questions that each request puts to the configuration in force. */
export interface RouteTable {
  readonly config: RoutingConfig;
  /** The route of the host with the longest prefix that begins the path. */
  readonly match: (host: string, path: string) => Route | undefined;
  readonly findWorkspace: (key: string) => RoutedWorkspace | undefined;
  readonly findService: (name: string) => ServiceInfo | undefined;
}

/** Removes a port and case from a Host header. */
const normaliseHost = (host: string): string => host.replace(/:\d+$/, '').toLowerCase();

/**
 * Builds the look-ups of a configuration.
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
  return {
    config,
    match: (host, path) => {
      const routes = byHost.get(normaliseHost(host));
      if (!routes) return undefined;
      const queryAt = path.indexOf('?');
      const pathname = queryAt < 0 ? path : path.slice(0, queryAt);
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
  };
};

/**
 * Chooses one way of a split route in proportion to the weights.
 *
 * @param random - a number in [0, 1)
 * @example
 * chooseService(route, Math.random()); // 'spec-readers'
 */
export const chooseService = (route: Route, random: number): string | undefined => {
  const total = route.split.reduce((sum, target) => sum + target.weight, 0);
  let remaining = random * total;
  const found = route.split.find((target) => {
    remaining -= target.weight;
    return remaining < 0;
  });
  return found?.service;
};
