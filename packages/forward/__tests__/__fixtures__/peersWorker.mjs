/**
 * Worker thread with a target and callers, which go on while the main thread stands still.
 *
 * The target holds its requests until it is told to answer. A schedule says when the target answers, when the callers
 * send the rest of their requests and when they leave. `PeersMessage` lists the messages.
 */
import { connect, createServer } from 'node:net';
import { parentPort } from 'node:worker_threads';

const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone';
const REQUEST_LINE = /^(GET|POST) /gm;

const callers = [];
const targets = [];
let seen = '';
let isAnswering = false;

const server = createServer((socket) => {
  targets.push(socket);
  socket.on('error', () => undefined);
  socket.on('data', (chunk) => {
    seen += chunk.toString('latin1');
    if (isAnswering) {
      socket.write(ANSWER);
    }
  });
});

function sendRequest(address, text) {
  const [host = '', port] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  socket.resume();
  socket.write(text);
  callers.push(socket);
}

function leaveAll(how) {
  callers.forEach((socket) => (how === 'reset' ? socket.resetAndDestroy() : socket.destroy()));
}

function runSchedule({ answerAtMs, rest, leaveAtMs, leave }) {
  setTimeout(() => {
    targets.forEach((socket) => socket.write(ANSWER));
    callers.forEach((socket) => socket.write(rest));
  }, answerAtMs);
  setTimeout(() => leaveAll(leave), leaveAtMs);
}

parentPort?.on('message', (message) => {
  const { _tag: kind } = message;
  switch (kind) {
    case 'Send':
      sendRequest(message.address, message.text);
      break;
    case 'Answer':
    case 'Hold':
      isAnswering = kind === 'Answer';
      break;
    case 'Run':
      runSchedule(message);
      break;
    default:
      parentPort?.postMessage(seen.match(REQUEST_LINE)?.length ?? 0);
  }
});

server.listen(0, '127.0.0.1', () => {
  parentPort?.postMessage(server.address().port);
});
