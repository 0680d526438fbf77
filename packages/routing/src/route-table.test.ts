import test from 'ava';
import fc from 'fast-check';
import { makeConfig, makeRoute } from './fixtures.js';
import { buildRouteTable, chooseService } from './route-table.js';

test('the longest prefix that begins the path wins, within the host only', (t) => {
  const table = buildRouteTable(
    makeConfig([
      makeRoute({ name: 'all', pathPrefix: '/' }),
      makeRoute({ name: 'a', pathPrefix: '/a/' }),
      makeRoute({ name: 'ab', pathPrefix: '/a/b/' }),
      makeRoute({ name: 'other', host: 'other.example', pathPrefix: '/a/b/c/' }),
    ]),
  );
  t.is(table.match('shop.example', '/a/b/c/d')?.name, 'ab');
  t.is(table.match('SHOP.example:80', '/a/bc')?.name, 'a');
  t.is(table.match('shop.example', '/a')?.name, 'all');
  t.is(table.match('shop.example', '/a/?q=/a/b/')?.name, 'a');
  t.is(table.match('none.example', '/a/'), undefined);
  t.is(table.match('other.example', '/a/b/'), undefined);
});

test('a match agrees with a search of all prefixes', (t) => {
  const segment = fc.constantFrom('a', 'b', 'c');
  const prefix = fc
    .array(segment, { maxLength: 3 })
    .map((s) => `/${s.map((p) => `${p}/`).join('')}`);
  fc.assert(
    fc.property(
      fc.uniqueArray(prefix, { maxLength: 8 }),
      prefix,
      fc.boolean(),
      (all, path, cut) => {
        const target = cut && path.length > 1 ? path.slice(0, -1) : path;
        const table = buildRouteTable(
          makeConfig(all.map((p) => makeRoute({ name: p, pathPrefix: p }))),
        );
        const naive = all
          .filter((p) => target.startsWith(p))
          .sort((a, b) => b.length - a.length)[0];
        return table.match('shop.example', target)?.name === naive;
      },
    ),
  );
  t.pass();
});

test('keys lead to their workspace', (t) => {
  const table = buildRouteTable(makeConfig([]));
  t.is(table.findWorkspace('k2')?.name, 'forge');
  t.is(table.findWorkspace('K2'), undefined);
  t.is(table.findWorkspace('constructor'), undefined);
});

test('a split follows its weights', (t) => {
  const route = makeRoute({
    split: [
      { service: 'a', weight: 90 },
      { service: 'b', weight: 10 },
    ],
  });
  t.is(chooseService(route, 0), 'a');
  t.is(chooseService(route, 0.899), 'a');
  t.is(chooseService(route, 0.9), 'b');
  t.is(chooseService(makeRoute({ split: [] }), 0.5), undefined);
});
