/**
 * Process with the clients of one zone. They send requests at a steady rate over kept connections, open new ones when
 * all are busy, read long answers slowly, and never repeat a request. `process.argv` has the address of the front.
 */
import { randomBytes } from 'node:crypto';
import { Agent, request } from 'node:http';

const [, , front, host] = process.argv;
const [ip, port] = front.split(':');
const TICK_MS = 10;
/** Answers beyond this size are read in steps with a pause between them. */
const FAST_BYTES = 16 * 1024;
const READ_PAUSE_MS = 200;

const agent = new Agent({ keepAlive: true });
const requests = [];
let classes = [];
let perS = 0;
let lastMs = performance.now();
let owed = 0;
let inFlight = 0;

function pickClass() {
  let left = Math.random() * classes.reduce((sum, { weight }) => sum + weight, 0);
  return classes.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
}

function send() {
  const { name, method, path, deadlineMs, body } = pickClass();
  const id = randomBytes(8).toString('hex');
  const sent = { id, name, atMs: Date.now(), isKept: false, end: 'none', endMs: 0 };
  requests.push(sent);
  inFlight += 1;
  const finish = (end) => {
    if (sent.endMs === 0) {
      sent.end = end;
      sent.endMs = Date.now();
      inFlight -= 1;
    }
  };
  const headers = {
    Host: host,
    'X-Attempt-Id': id,
    'X-Deadline-Ms': String(deadlineMs),
    Cookie: `X-Affinity-Key=${Math.floor(Math.random() * 200)}`,
  };
  const call = request({ host: ip, port, agent, method, path, headers }, (response) => {
    let bytes = 0;
    response.on('data', (data) => {
      bytes += data.length;
      if (bytes > FAST_BYTES) {
        response.pause();
        setTimeout(() => response.resume(), READ_PAUSE_MS);
      }
    });
    response.on('end', () => finish(String(response.statusCode)));
    response.on('error', () => finish('closed midway'));
  });
  const timer = setTimeout(() => {
    finish('given up at the deadline');
    call.destroy();
  }, deadlineMs);
  call.on('error', () => finish('closed'));
  call.on('close', () => clearTimeout(timer));
  call.on('socket', () => {
    sent.isKept = call.reusedSocket;
  });
  call.end(body);
}

setInterval(() => {
  const nowMs = performance.now();
  owed += (perS * (nowMs - lastMs)) / 1000;
  lastMs = nowMs;
  while (owed >= 1) {
    owed -= 1;
    send();
  }
}, TICK_MS).unref();

process.on('message', (order) => {
  if (order === 'stop') {
    process.send({ requests }, () => process.disconnect());
    agent.destroy();
    return;
  }
  ({ classes = classes, perS } = order);
});
setInterval(
  () => process.connected && process.send({ sent: requests.length, inFlight }),
  200,
).unref();
