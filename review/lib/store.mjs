// A stand-in for the platform's metadata store, and links to it whose open connections may go silent.
import { createServer } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { now, onCleanUp, record, sleep } from './harness.mjs';

/** The time of an answer on the sheets. */
const answerMs = 4;

const readBody = async (req) => {
  let text = '';
  for await (const chunk of req) text += chunk;
  return text;
};

/** Starts the store. Nothing is lost, all answers are linearizable and no call is refused. */
export const startStore = async () => {
  const items = new Map();
  const leases = new Map();
  const changes = [];
  const watchers = new Set();
  let revision = 1;
  let era = 1;
  let copy;
  let isAway = false;
  let lastLease = 100;

  const write = (key, value, lease = 0) => {
    revision += 1;
    const created = items.get(key)?.Created ?? revision;
    const item = { Key: key, Value: value, Revision: revision, Created: created, Lease: lease };
    items.set(key, item);
    changes.push(item);
    watchers.forEach((wake) => wake());
  };

  const remove = (key) => {
    if (!items.delete(key)) return;
    revision += 1;
    changes.push({ Key: key, Revision: revision, Tombstone: true });
    watchers.forEach((wake) => wake());
  };

  const endLease = (id) => {
    const lease = leases.get(id);
    if (!lease) return;
    clearTimeout(lease.timer);
    leases.delete(id);
    items.forEach((item) => {
      if (item.Lease === id) remove(item.Key);
    });
  };

  const extend = (id) => {
    const lease = leases.get(id);
    if (!lease) return false;
    clearTimeout(lease.timer);
    lease.timer = setTimeout(endLease, lease.ttlMs, id);
    return true;
  };

  const watch = async (query) => {
    const prefix = query.get('PathPrefix');
    const after = Number(query.get('after'));
    if (after > revision) return [410, {}];
    const until = now() + Number(query.get('WaitMs'));
    for (;;) {
      const events = changes.filter(
        ({ Key, Revision }) => Revision > after && Key.startsWith(prefix),
      );
      const remainingMs = until - now();
      if (events.length > 0 || remainingMs <= 0) return [200, { events, AsOf: revision }];
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          watchers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, remainingMs);
        watchers.add(wake);
      });
    }
  };

  const runTransaction = ({ Expected = [], Writes = [], Remove = [] }) => {
    const isUnchanged = Expected.every(
      ({ Key, Revision }) => (items.get(Key)?.Revision ?? 0) === Revision,
    );
    if (!isUnchanged) return [412, { items: Expected.flatMap(({ Key }) => items.get(Key) ?? []) }];
    if (Writes.some(({ Lease }) => Lease && !leases.has(Lease))) return [404, {}];
    Writes.forEach(({ Key, Value, Lease }) => write(Key, Value, Lease || 0));
    Remove.forEach(remove);
    return [200, { Revision: revision }];
  };

  const answer = async (method, url, text) => {
    const path = url.pathname;
    const query = url.searchParams;
    const prefix = query.get('PathPrefix') ?? '';
    if (path === '/api/kv-watch') return watch(query);
    if (path === '/api/kv-range') {
      const found = [...items.values()].filter(({ Key }) => Key.startsWith(prefix));
      return [200, { items: found, Truncated: false, AsOf: revision }];
    }
    if (path === '/api/kv-key') {
      const item = items.get(query.get('Key'));
      return item ? [200, { ...item, AsOf: revision }] : [404, {}];
    }
    if (path === '/api/kv-txn') return runTransaction(JSON.parse(text));
    if (path === '/api/kv-lease') {
      lastLease += 1;
      const { TtlMs } = JSON.parse(text);
      leases.set(lastLease, { ttlMs: TtlMs });
      extend(lastLease);
      return [200, { Lease: lastLease, TtlMs }];
    }
    const id = Number(path.split('/').at(-1));
    if (path.startsWith('/api/kv-keep/'))
      return extend(id) ? [200, { TtlMs: leases.get(id).ttlMs }] : [404, {}];
    if (method === 'DELETE' && path.startsWith('/api/kv-lease-end/')) {
      endLease(id);
      return [200, {}];
    }
    return [404, {}];
  };

  const server = createServer(async (req, res) => {
    const text = await readBody(req);
    await sleep(answerMs);
    const [status, body] = isAway
      ? [503, {}]
      : await answer(req.method, new URL(req.url, 'http://store'), text);
    res.writeHead(status, { 'content-type': 'application/json', 'store-era': String(era) });
    res.end(JSON.stringify(body));
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  onCleanUp(() => {
    server.closeAllConnections();
    server.close();
  });
  return {
    port: server.address().port,
    /** Writes as the operator or a runner does; returns the time of the acknowledgement. */
    put: (key, value) => {
      write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
      const at = now();
      record('store acknowledged', {
        key,
        revision,
        value: key === 'op/config' ? value.Version : value,
      });
      return at;
    },
    remove: (key) => {
      remove(key);
      record('store removed', { key, revision });
      return now();
    },
    /** Takes the copy that the store comes back from. */
    takeCopy: () => {
      copy = { items: new Map(items), changes: [...changes], revision, lastLease };
      record('store copied', { revision });
    },
    /** The store is away: it answers 503 and cuts what waits. */
    leave: () => {
      isAway = true;
      server.closeAllConnections();
      record('store away');
    },
    /** The store comes back from the copy; leases granted since are gone. */
    comeBack: () => {
      items.clear();
      copy.items.forEach((item, key) => items.set(key, item));
      changes.length = 0;
      changes.push(...copy.changes);
      revision = copy.revision;
      leases.forEach(({ timer }, id) => {
        if (id <= copy.lastLease) return;
        clearTimeout(timer);
        leases.delete(id);
      });
      era += 1;
      isAway = false;
      server.closeAllConnections();
      watchers.forEach((wake) => wake());
      record('store back from the copy', { era, revision });
    },
  };
};

/** Starts a link to a port: its open connections can be made silent for good, while new ones work. */
export const startLink = async (targetPort) => {
  const open = new Set();
  const server = createTcpServer((near) => {
    const far = connect(targetPort, '127.0.0.1');
    const pair = { isSilent: false };
    open.add(pair);
    near.on('data', (bytes) => {
      if (!pair.isSilent) far.write(bytes);
    });
    far.on('data', (bytes) => {
      if (!pair.isSilent) near.write(bytes);
    });
    near.on('error', () => {});
    far.on('error', () => {});
    near.on('close', () => {
      open.delete(pair);
      far.destroy();
    });
    far.on('close', () => {
      if (!pair.isSilent) near.destroy();
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  onCleanUp(() => server.close());
  return {
    port: server.address().port,
    /** Makes the connections that are open now silent; returns their number. */
    silenceOpen: () => {
      open.forEach((pair) => {
        pair.isSilent = true;
      });
      return open.size;
    },
  };
};
