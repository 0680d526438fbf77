import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/** How a proxy treats connections. */
export type ProxyMode =
  | 'pass'
  /** Bytes are forwarded with a delay. */
  | 'delay'
  /** Nothing is forwarded; connections stay open. */
  | 'silent'
  /** Requests are forwarded, responses are discarded. */
  | 'one-way'
  /** Open and new connections are reset. */
  | 'reset';

/** A loopback proxy that injects connection faults. */
export interface TcpProxy {
  readonly port: number;
  readonly setMode: (mode: ProxyMode) => void;
  readonly close: () => void;
}

/** Delay of each chunk and of the end of a connection in mode `delay`. */
const forwardDelayMs = 150;

/** Runs actions in the order in which they were added, each no earlier than its due time. */
const makeOrderedTimer = (): ((action: () => void, dueAt: number) => void) => {
  const queue: { readonly action: () => void; readonly dueAt: number }[] = [];
  let timer: NodeJS.Timeout | undefined;
  const runDueActions = (): void => {
    timer = undefined;
    for (let [next] = queue; next; [next] = queue) {
      const remainingMs = next.dueAt - performance.now();
      if (remainingMs > 0) {
        timer = setTimeout(runDueActions, Math.ceil(remainingMs));
        return;
      }
      queue.shift();
      next.action();
    }
  };
  return (action, dueAt) => {
    queue.push({ action, dueAt });
    if (!timer) runDueActions();
  };
};

const forward = (
  from: Socket,
  to: Socket,
  isForwarding: () => boolean,
  isDelayed: () => boolean,
): void => {
  const runAt = makeOrderedTimer();
  const scheduleForward = (action: () => void): void => {
    if (isForwarding()) runAt(action, performance.now() + (isDelayed() ? forwardDelayMs : 0));
  };
  from.on('data', (bytes: Buffer) => scheduleForward(() => to.write(bytes)));
  from.on('end', () => scheduleForward(() => to.end()));
};

/**
 * Starts a proxy in front of a port of the loopback address.
 *
 * @example
 * (await startTcpProxy(8080)).setMode('silent');
 */
export const startTcpProxy = async (targetPort: number): Promise<TcpProxy> => {
  let mode: ProxyMode = 'pass';
  const openSockets = new Set<Socket>();
  const track = (socket: Socket): void => {
    openSockets.add(socket);
    socket.on('close', () => openSockets.delete(socket));
  };
  const server = createServer({ allowHalfOpen: true }, (caller) => {
    track(caller);
    caller.on('error', () => {});
    if (mode === 'reset') {
      caller.resetAndDestroy();
      return;
    }
    const backend = connect({ port: targetPort, host: '127.0.0.1', allowHalfOpen: true });
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
    const isDelayed = (): boolean => mode === 'delay';
    forward(caller, backend, () => mode !== 'silent', isDelayed);
    forward(backend, caller, () => mode !== 'silent' && mode !== 'one-way', isDelayed);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    setMode: (nextMode) => {
      mode = nextMode;
      if (nextMode === 'reset') openSockets.forEach((socket) => socket.resetAndDestroy());
    },
    close: () => {
      openSockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
};
