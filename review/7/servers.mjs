/* eslint-disable no-await-in-loop, no-param-reassign -- the instances are started one after another, and told what to do by this process. */
/**
 * Process with the instances. `process.argv` has the address, and for each service its name, number of instances and
 * time of work. While told to, some of the instances spoil one in `every` of their answers: a head, and then a body in
 * pieces of one byte without an end, until the caller closes.
 */
import ServerStandIn from '../kit-2/ServerStandIn.mjs';

const [, , ip, zone, ...services] = process.argv;
const REPORT_MS = 200;
/** A piece of a body in chunks that has one byte. */
const PIECE = '1\r\na\r\n';
const PIECES = Buffer.from(PIECE.repeat(500));

const runs = [];
let spoiling = null;
let spoilable = 0;
let spoilt = 0;

function sendWithoutEnd(socket) {
  const write = () => {
    if (socket.destroyed) {
      return;
    }
    if (socket.write(PIECES)) {
      setImmediate(write);
    } else {
      socket.once('drain', write);
    }
  };
  write();
}

class SpoilingServer extends ServerStandIn {
  /** Share of the instances of its service that this one and those before it make up. */
  place = 0;

  /** Whether this is one of the instances that spoil answers. */
  isFaulty = false;

  answer(id, message, response) {
    if (!this.#isToSpoil()) {
      super.answer(id, message, response);
      return;
    }
    spoilt += 1;
    runs.find((run) => run.id === id).isSpoilt = true;
    const { socket } = response;
    socket.write(
      [
        'HTTP/1.1 200 OK',
        `X-Attempt-Id: ${id}`,
        `X-Response-Stamp: ${this.id}.${id}`,
        'Transfer-Encoding: chunked',
        '',
        '',
      ].join('\r\n'),
    );
    sendWithoutEnd(socket);
  }

  #isToSpoil() {
    if (spoiling === null || !this.isFaulty) {
      return false;
    }
    spoilable += 1;
    return spoilable % spoiling.every === 0;
  }
}

async function startAll() {
  const all = [];
  for (let at = 0; at < services.length; at += 3) {
    const [service, count, workMs] = services.slice(at, at + 3);
    for (let number = 0; number < Number(count); number += 1) {
      const id = `i-${service}-${number}`;
      const server = new SpoilingServer({ id, service, zone, workMs: Number(workMs) });
      server.onRun = (request) =>
        runs.push({ id: request, on: server.id, atMs: Date.now(), isSpoilt: false });
      server.place = (number + 1) / Number(count);
      await server.start(ip);
      all.push(server);
    }
  }
  return all;
}

const servers = await startAll();
process.send({
  entries: servers.map((server) => ({ key: `servers/${server.id}`, value: server.buildEntry() })),
});
process.on('message', (order) => {
  if (order === 'stop') {
    process.send({ runs, spoilt, spoilable }, () => process.disconnect());
    servers.forEach((server) => server.stop());
    return;
  }
  spoiling = order;
  servers.forEach((server) => {
    server.isFaulty = spoiling !== null && server.place <= spoiling.share;
  });
});
setInterval(() => process.connected && process.send({ spoilt, spoilable }), REPORT_MS).unref();
