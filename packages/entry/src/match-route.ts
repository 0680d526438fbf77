import type { ServiceRoute } from '@hemlocksill/types/config-document.js';

const isMatch = (pattern: readonly string[], parts: readonly string[]): boolean =>
  pattern.length === parts.length &&
  pattern.every((p, i) => (p.startsWith(':') ? parts[i] !== '' : p === parts[i]));

/**
 * Finds the route of a call; a path with more fixed parts goes before one with parameters.
 *
 * @example
 * findRoute(routes, 'GET', '/stock/billet-40')?.name;
 */
export const findRoute = (
  routes: readonly ServiceRoute[],
  method: string,
  path: string,
): ServiceRoute | undefined => {
  const parts = path.split('/');
  return routes
    .filter((r) => r.method === method && isMatch(r.path.split('/'), parts))
    .sort((a, b) => a.path.split(':').length - b.path.split(':').length)[0];
};
