/* eslint-disable class-methods-use-this -- the steps of a test follow one another, and its stand-ins are told what to do by their owner. */
/**
 * A stand-in for an instance: `slots` requests at a time, a short queue, 503 with `X-Not-Run` beyond it. It echoes the id
 * of a request and tells its own on its health path.
 */
import { createServer } from 'node:http';
import { once } from 'node:events';

const HEALTH_PATH = '/health';
const IDLE_TIMEOUT_MS = 10_000;

export default class ServerStandIn {
  /** Called with the id and the headers of each request that begins to run. */
  onRun = () => undefined;

  #running = 0;

  #queue = [];

  #server = createServer({ keepAliveTimeout: IDLE_TIMEOUT_MS }, (message, response) => {
    message.resume();
    this.#take(message, response);
  });

  constructor({ id, service, zone, slots = 9, workMs = 30 }) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMs = workMs;
    this.born = Date.now();
  }

  async start(ip) {
    this.#server.listen(0, ip);
    await once(this.#server, 'listening');
    this.address = `${ip}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Returns what the instance says of itself in the store. */
  buildEntry(seq = 1, state = 'ready') {
    const { address, born, service, zone, slots } = this;
    return {
      address,
      born,
      info: { service, version: 'v1', zone, slots },
      status: { state, seq, coldRemainingS: 0 },
    };
  }

  #take(message, response) {
    if (this.#running < this.slots) {
      this.#run(message, response);
    } else if (this.#queue.length < 3 * this.slots) {
      this.#queue.push([message, response]);
    } else {
      const id = message.headers['x-attempt-id'] ?? '';
      response.writeHead(503, { 'X-Attempt-Id': id, 'X-Not-Run': '1' }).end();
    }
  }

  #run(message, response) {
    this.#running += 1;
    const isHealthCheck = message.url === HEALTH_PATH;
    const expected = message.headers['x-expect-instance'];
    if (isHealthCheck) {
      response.writeHead(200, { 'X-Instance-Id': this.id }).end();
      this.#finish();
      return;
    }
    const id = message.headers['x-attempt-id'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Attempt-Id': id, 'X-Not-Run': '1' }).end();
      this.#finish();
      return;
    }
    this.onRun(id, message.headers);
    setTimeout(() => {
      this.answer(id, message, response);
      this.#finish();
    }, this.workMs);
  }

  /** Answers a request that has run. */
  answer(id, message, response) {
    const headers = { 'X-Attempt-Id': id, 'X-Response-Stamp': `${this.id}.${id}` };
    response.writeHead(200, headers).end(`${this.id} ${message.url}`);
  }

  #finish() {
    this.#running -= 1;
    const next = this.#queue.shift();
    if (next !== undefined) {
      this.#run(...next);
    }
  }
}
