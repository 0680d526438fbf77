// Runs a case: starts the router's own program as the deploy file says, keeps the record, ends all processes.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const root = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
export const hasTrouble = process.env.TROUBLE !== '0';

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Milliseconds of the real clock since the case began. */
const startedAt = performance.now();
export const now = () => performance.now() - startedAt;

const lines = [];

/** Adds a line to the record: the time in ms, what happened, and the facts. */
export const record = (what, facts = {}) => {
  lines.push(`${now().toFixed(1).padStart(9)} ${what} ${JSON.stringify(facts)}`);
};

const children = new Set();
const cleanUps = [];
let folder;

export const onCleanUp = (action) => cleanUps.push(action);

const tempFolder = () => {
  folder ??= mkdtempSync(join(tmpdir(), 'hemlocksill-review-'));
  return folder;
};

/** Finds free ports of the loopback address. */
export const findPorts = async (count) => {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve) => {
          const server = createServer();
          server.listen(0, '127.0.0.1', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
};

const lookUp = (fields, path) =>
  path.split('.').reduce((value, name) => (value === undefined ? undefined : value[name]), fields);

/** Fills the settings template of the deploy file from the platform's fields. */
const fillTemplate = (text, fields) =>
  text
    .replace(/\{\{#([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g, (_, path, body) =>
      lookUp(fields, path) === undefined ? '' : body,
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => {
      const value = lookUp(fields, path) ?? '';
      return Array.isArray(value) ? value.join(',') : String(value);
    });

/** Bounds as on the sheet of saaremets-tellimus. */
export const bounds = {
  GraceS: 8,
  RetryBudgetRatio: 0.2,
  BudgetSlack: 56,
  BudgetWindowS: 10,
  QuotaSlack: 140000,
  QuotaWindowS: 8,
  ConfigApplyMs: 2000,
  LeaseMs: 3000,
};

/** Times of the sheet that the checks use. */
export const contactMs = 3000;
export const heartbeatMs = 1200;

const readDeploy = (name) => {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  return new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1];
};

export const launch = (vm) => {
  const [program, ...args] = readDeploy('run').split(' ');
  const child = spawn(program, args, {
    cwd: root,
    env: { PATH: process.env.PATH, HOME: tempFolder(), HEMLOCKSILL_NODE_FILE: vm.settingsFile },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  children.add(child);
  vm.child = child;
  vm.log = '';
  child.stdout.on('data', (bytes) => {
    vm.log += bytes;
  });
  child.stderr.on('data', (bytes) => {
    vm.log += bytes;
  });
  child.on('exit', (code, signal) => {
    children.delete(child);
    record('process ended', { vm: vm.name, code, signal });
    vm.onEnd?.(code, signal);
  });
  record('process started', { vm: vm.name, pid: child.pid });
};

/**
 * Starts VMs with the settings that the platform would write, in the zones of the sheet.
 *
 * @param zones - zone of each VM
 * @param storePorts - port at which each VM reaches the store
 */
export const startVms = async (zones, storePorts) => {
  const ports = await findPorts(zones.length * 4);
  const template = readFileSync(join(root, readDeploy('template')), 'utf8');
  const vms = zones.map((zone, n) => {
    const [callers, ready, peers, metrics] = ports.slice(n * 4, n * 4 + 4);
    return { name: `front-${n + 1}`, zone, callers, ready, peers, metrics, n };
  });
  const seeds = vms.slice(0, 3).map(({ peers }) => `127.0.0.1:${peers}`);
  vms.forEach((vm) => {
    vm.settingsFile = join(tempFolder(), `${vm.name}.ini`);
    vm.writeSettings = (isFirst) =>
      writeFileSync(
        vm.settingsFile,
        fillTemplate(template, {
          NodeName: vm.name,
          Zone: vm.zone,
          Ip: '127.0.0.1',
          Listen: {
            Front: `127.0.0.1:${vm.callers}`,
            ReadyAddr: `127.0.0.1:${vm.ready}`,
            Control: `127.0.0.1:${vm.peers}`,
          },
          InternalPorts: [vm.metrics],
          Seeds: seeds,
          Bootstrap: isFirst,
          Platform: { Address: `127.0.0.1:${storePorts[n(vm)]}` },
          Bounds: bounds,
        }),
      );
    vm.writeSettings(true);
    launch(vm);
  });
  function n(vm) {
    return vm.n;
  }
  return vms;
};

/** Sends a request and reports the answer; never throws. */
export const send = (port, { path, method = 'GET', headers = {}, body, agent = false, onData }) =>
  new Promise((resolve) => {
    let text = '';
    const sentAt = now();
    const finish = (result) => resolve({ sentAt, endedAt: now(), body: text, ...result });
    const req = request({ host: '127.0.0.1', port, path, method, agent, headers }, (res) => {
      res.on('data', (bytes) => {
        text += bytes;
        onData?.(text, req);
      });
      res.on('end', () =>
        finish({ status: res.statusCode, headers: res.headers, isComplete: res.complete }),
      );
      res.on('error', () =>
        finish({ status: res.statusCode, headers: res.headers, isComplete: false }),
      );
    });
    req.on('error', (error) =>
      finish({ status: 0, headers: {}, isComplete: false, error: error.code }),
    );
    req.end(body);
  });

/** Waits until all VMs say that they are ready, as the platform's balancer asks. */
export const awaitReady = async (vms, withinMs = 20000) => {
  const until = now() + withinMs;
  for (const vm of vms) {
    for (;;) {
      const { status } = await send(vm.ready, { path: '/api/ready' });
      if (status === 200) break;
      if (now() > until) throw new Error(`${vm.name} is not ready in time`);
      await sleep(50);
    }
  }
  record('all VMs are ready', { vms: vms.length });
};

const cleanUp = async () => {
  for (const action of cleanUps.reverse()) await action();
  const ended = [...children].map((child) => new Promise((resolve) => child.once('exit', resolve)));
  children.forEach((child) => child.kill('SIGKILL'));
  await Promise.all(ended);
  if (folder) rmSync(folder, { recursive: true, force: true });
};

/**
 * Runs a case. `play` returns the violations of the rule, and a summary.
 *
 * Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
export const runCase = async (caseFolder, play) => {
  const guard = setTimeout(() => {
    record('the case took too long');
    void finish(2);
  }, 110000);
  let isFinished = false;
  const finish = async (code) => {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(guard);
    await cleanUp();
    writeFileSync(join(caseFolder, 'record.txt'), `${lines.join('\n')}\n`);
    process.exit(code);
  };
  record('begin', { trouble: hasTrouble });
  try {
    const { violations, limit, summary } = await play();
    violations.forEach((violation) => record('VIOLATION', violation));
    const isBroken = violations.length > limit;
    record(isBroken ? 'the rule was broken' : 'the rule held', {
      ...summary,
      violations: violations.length,
      limit,
    });
    process.stdout.write(`${lines.at(-1).trim()}\n`);
    await finish(isBroken ? 1 : 0);
  } catch (error) {
    record('the case could not run', { error: error.stack });
    process.stdout.write(`${lines.at(-1).trim()}\n`);
    await finish(2);
  }
};
