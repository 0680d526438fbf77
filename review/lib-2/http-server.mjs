import { createServer } from 'node:net';

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
  const next = end + headEnd.length + Number(headers['content-length'] ?? 0);
  if (text.length < next) return undefined;
  const body = text.slice(end + headEnd.length, next);
  return { request: { requestLine, headers, body }, rest: text.slice(next) };
};

/** Formats a whole response with a JSON body. */
export const formatJson = (status, value, lines = []) => {
  const body = JSON.stringify(value);
  return [
    `HTTP/1.1 ${status}`,
    ...lines,
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    '',
    body,
  ].join('\r\n');
};

/**
 * Makes the handler of connections, on each of which one request is handled at a time. `handle` gets the request and a
 * connection with `write`, `end`, `sendLate`, which writes a text where the next response is expected, and `done`.
 */
export const makeConnectionHandler = (handle) => (socket) => {
  let text = '';
  let isBusy = false;
  let late;
  socket.setNoDelay(true);
  socket.on('error', () => {});
  const write = (bytes) => {
    if (!socket.destroyed) socket.write(bytes);
  };
  const serve = () => {
    if (isBusy) return;
    const taken = takeRequest(text);
    if (!taken) return;
    text = taken.rest;
    isBusy = true;
    const sendLate = late;
    late = undefined;
    if (sendLate) setTimeout(sendLate, 2);
    handle(taken.request, {
      write,
      end: (bytes) => socket.end(bytes),
      isClosed: () => socket.destroyed,
      sendLate: (onSend) => {
        late = onSend;
      },
      done: () => {
        isBusy = false;
        serve();
      },
    });
  };
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
    serve();
  });
};

/** Starts a server on a free port whose connections are handled in that way. */
export const startHttpServer = async (handle) => {
  const sockets = new Set();
  const serveConnection = makeConnectionHandler(handle);
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    serveConnection(socket);
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
};
