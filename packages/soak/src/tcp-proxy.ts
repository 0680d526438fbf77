import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/** What a proxy does with connections. */
export type ProxyMode =
  | 'pass'
  /** Bytes arrive late. */
  | 'delay'
  /** Nothing passes; connections stay open. */
  | 'silent'
  /** Answers are lost, requests pass. */
  | 'one-way'
  /** Open and new connections are reset. */
  | 'reset';

/** A loopback proxy that harms what passes through it. */
export interface TcpProxy {
  readonly port: number;
  readonly setMode: (mode: ProxyMode) => void;
  readonly close: () => void;
}

/** Time by which a delaying proxy holds bytes back. */
const delayMs = 150;

/** Runs actions in the order in which they came, each not before its time. */
const makeOrderedTimer = (): ((action: () => void, dueAt: number) => void) => {
  const waiting: { readonly action: () => void; readonly dueAt: number }[] = [];
  let timer: NodeJS.Timeout | undefined;
  const run = (): void => {
    timer = undefined;
    for (let [next] = waiting; next; [next] = waiting) {
      const leftMs = next.dueAt - performance.now();
      if (leftMs > 0) {
        timer = setTimeout(run, Math.ceil(leftMs));
        return;
      }
      waiting.shift();
      next.action();
    }
  };
  return (action, dueAt) => {
    waiting.push({ action, dueAt });
    if (!timer) run();
  };
};

const forward = (from: Socket, to: Socket, passes: () => boolean, isLate: () => boolean): void => {
  const runAt = makeOrderedTimer();
  const goOn = (action: () => void): void => {
    if (passes()) runAt(action, performance.now() + (isLate() ? delayMs : 0));
  };
  from.on('data', (bytes: Buffer) => goOn(() => to.write(bytes)));
  from.on('end', () => goOn(() => to.end()));
};

/**
 * Starts a proxy before a port of the loopback address.
 *
 * @example
 * (await startTcpProxy(8080)).setMode('silent');
 */
export const startTcpProxy = async (target: number): Promise<TcpProxy> => {
  let mode: ProxyMode = 'pass';
  const open = new Set<Socket>();
  const track = (socket: Socket): void => {
    open.add(socket);
    socket.on('close', () => open.delete(socket));
  };
  const server = createServer({ allowHalfOpen: true }, (caller) => {
    track(caller);
    caller.on('error', () => {});
    if (mode === 'reset') {
      caller.resetAndDestroy();
      return;
    }
    const backend = connect({ port: target, host: '127.0.0.1', allowHalfOpen: true });
    track(backend);
    const reset = (): void => {
      caller.resetAndDestroy();
      backend.resetAndDestroy();
    };
    backend.on('error', reset);
    caller.on('error', reset);
    caller.on('close', () => backend.destroy());
    backend.on('close', (hadError) => {
      if (hadError) reset();
      else caller.end();
    });
    const isLate = (): boolean => mode === 'delay';
    forward(caller, backend, () => mode !== 'silent', isLate);
    forward(backend, caller, () => mode !== 'silent' && mode !== 'one-way', isLate);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    setMode: (next) => {
      mode = next;
      if (next === 'reset') open.forEach((socket) => socket.resetAndDestroy());
    },
    close: () => {
      open.forEach((socket) => socket.destroy());
      server.close();
    },
  };
};
