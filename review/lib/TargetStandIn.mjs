/**
 * Stand-in for an instance: sound HTTP/1.1 on plain sockets, so that each case decides how an answer is framed.
 *
 * `answer` gets the request and a function that writes bytes; it resolves once its answer is written. The stand-in keeps
 * the connection unless `answer` resolves with 'close'.
 */
import { createServer } from 'node:net';

const IDLE_MS = 10_000;

function parseHead(text) {
  const [line, ...rest] = text.split('\r\n');
  const [method, path] = line.split(' ');
  const headers = Object.fromEntries(
    rest.map((row) => {
      const colon = row.indexOf(':');
      return [row.slice(0, colon).toLowerCase(), row.slice(colon + 1).trim()];
    }),
  );
  return { method, path, headers };
}

/** Takes the next request from the buffer, or returns null if it is not complete. Bodies have a length. */
function takeRequest(buffer) {
  const start = buffer.indexOf('\r\n') === 0 ? 2 : 0;
  const end = buffer.indexOf('\r\n\r\n', start);
  if (end < 0) {
    return null;
  }
  const head = parseHead(buffer.subarray(start, end).toString('latin1'));
  const bodyEnd = end + 4 + Number(head.headers['content-length'] ?? 0);
  if (buffer.length < bodyEnd) {
    return null;
  }
  return { ...head, id: head.headers['x-attempt-id'], rest: buffer.subarray(bodyEnd) };
}

export default class TargetStandIn {
  /** Ids of the requests that were run, with the times of their start and end. */
  runs = new Map();

  server = createServer((socket) => this.serve(socket));

  constructor(name, answer) {
    this.name = name;
    this.answer = answer;
  }

  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  stop() {
    this.server.close();
  }

  buildEntry(service) {
    return {
      address: `127.0.0.1:${this.server.address().port}`,
      born: 1,
      info: { service, version: 'v1', zone: 'bdg-a', slots: 64 },
      status: { state: 'ready', seq: 1, coldRemainingS: 0 },
    };
  }

  serve(socket) {
    let buffer = Buffer.alloc(0);
    let isBusy = false;
    const next = async () => {
      const request = isBusy ? null : takeRequest(buffer);
      if (request === null) {
        return;
      }
      buffer = request.rest;
      isBusy = true;
      const end = await this.handle(request, socket);
      isBusy = false;
      if (end === 'close') {
        socket.end();
      } else {
        next();
      }
    };
    socket.on('error', () => undefined);
    socket.on('end', () => socket.end());
    socket.setTimeout(IDLE_MS, () => socket.destroy());
    socket.on('data', (chunk) => {
      buffer = Buffer.concat([buffer, chunk]);
      next();
    });
  }

  async handle(request, socket) {
    const { id, path, headers } = request;
    const write = (text) => {
      if (!socket.destroyed) {
        socket.write(text, 'latin1');
      }
    };
    if (path === '/health') {
      write(`HTTP/1.1 200 OK\r\nX-Instance-Id: ${this.name}\r\nContent-Length: 0\r\n\r\n`);
      return 'keep';
    }
    if (headers['x-expect-instance'] !== this.name) {
      write(`HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
      return 'keep';
    }
    const run = { startedAtMs: performance.now(), endedAtMs: null };
    this.runs.set(id, run);
    const end = await this.answer(request, write, socket);
    run.endedAtMs = performance.now();
    return end;
  }
}
