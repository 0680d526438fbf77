import { createServer } from 'node:net';

/** Time from a request to the late copy of the response before. */
const extraDelayMs = 2;

const headEnd = '\r\n\r\n';

/** Takes the first whole request from received text; undefined if there is none. */
const takeRequest = (text) => {
  const end = text.indexOf(headEnd);
  if (end < 0) return undefined;
  const [requestLine, ...lines] = text.slice(0, end).split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const bodyBytes = Number(headers['content-length'] ?? 0);
  const next = end + headEnd.length + bodyBytes;
  if (text.length < next) return undefined;
  return { request: { requestLine, headers }, rest: text.slice(next) };
};

const shed = 'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n';

/**
 * Starts a runner of a plain service. It serves one request at a time on a connection and `slots` at once, queues
 * `queue` more, and rejects others. `onEvent` gets `run`, `shed`, `answer` and `extra` with the id of the request.
 *
 * @param faulty - says for each rejection whether it is sent a second time
 */
export const startPlainRunner = async ({ id, slots, queue, workMs, faulty, onEvent }) => {
  const born = Date.now();
  let running = 0;
  const waiting = [];
  const sockets = new Set();

  /** What a connection sends late, once its next request is being handled. */
  const late = new WeakMap();
  const onNext = (socket, send) => late.set(socket, send);

  const startNext = () => {
    const next = waiting.shift();
    if (next) next();
  };

  const handle = (request, socket, onDone) => {
    const write = (text) => {
      if (!socket.destroyed) socket.write(text);
    };
    const requestId = request.headers['request-id'];
    if ((request.headers['expect-instance'] ?? id) !== id) {
      write('HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n');
      onDone();
      return;
    }
    if (/ \/api\/report /.test(request.requestLine)) {
      const body = JSON.stringify({ Stage: 'decode', Busy: false, Sequence: 0, born });
      write(
        `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
      onDone();
      return;
    }
    const run = () => {
      // A request whose connection was closed while it waited is dropped.
      if (socket.destroyed) {
        startNext();
        return;
      }
      running += 1;
      onEvent('run', requestId);
      setTimeout(() => {
        running -= 1;
        onEvent('answer', requestId);
        const body = `done ${requestId}`;
        write(
          `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nInstance-Stamp: stamp.${id}\r\n` +
            `Content-Length: ${body.length}\r\n\r\n${body}`,
        );
        onDone();
        startNext();
      }, workMs);
    };
    if (running < slots) run();
    else if (waiting.length < queue) waiting.push(run);
    else {
      onEvent('shed', requestId);
      write(shed);
      // The copy arrives late, where the next response on the connection is expected.
      if (faulty())
        onNext(socket, () => {
          onEvent('extra', requestId);
          write(shed);
        });
      onDone();
    }
  };

  const server = createServer((socket) => {
    let text = '';
    let isBusy = false;
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    const serve = () => {
      if (isBusy) return;
      const taken = takeRequest(text);
      if (!taken) return;
      text = taken.rest;
      isBusy = true;
      const sendLate = late.get(socket);
      late.delete(socket);
      if (sendLate) setTimeout(sendLate, extraDelayMs);
      handle(taken.request, socket, () => {
        isBusy = false;
        serve();
      });
    };
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      serve();
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    id,
    born,
    port: server.address().port,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
};
