import type { ServiceRoute } from '@hemlocksill/types/config-document.js';

const matchesPattern = (pattern: readonly string[], segments: readonly string[]): boolean =>
  pattern.length === segments.length &&
  pattern.every((part, i) => (part.startsWith(':') ? segments[i] !== '' : part === segments[i]));

/**
 * Finds the route for a method and path; a path with fewer parameters takes precedence.
 *
 * @example
 * findRoute(routes, 'GET', '/stock/billet-40')?.name;
 */
export const findRoute = (
  routes: readonly ServiceRoute[],
  method: string,
  path: string,
): ServiceRoute | undefined => {
  const segments = path.split('/');
  return routes
    .filter((route) => route.method === method && matchesPattern(route.path.split('/'), segments))
    .sort((left, right) => left.path.split(':').length - right.path.split(':').length)[0];
};
