/* eslint-disable no-await-in-loop, no-restricted-syntax, class-methods-use-this -- the steps of a test follow one another, and its stand-ins are told what to do by their owner. */
/**
 * Clients of one zone: they ask the nearest directory where to connect, keep the response for its `ttlS`, and send
 * requests at a steady rate on new connections, whatever becomes of the earlier ones. They never repeat a request.
 */
import { randomBytes } from 'node:crypto';
import { request } from 'node:http';
import { get } from './EntryProcess.mjs';

const RESOLVE_TIMEOUT_MS = 1000;
const EXCLUDED_MS = 5000;
const CONNECT_MS = 1000;

export default class TenantClient {
  /** Called with each request as it is sent and as it ends. */
  onSent = () => undefined;

  onEnd = () => undefined;

  #addresses = [];

  #validUntilMs = -Infinity;

  #refresh = null;

  #failed = new Map();

  #timers = [];

  /** `directories` stand in the order of their nearness. */
  constructor({ zone, region, host, ttlMaxS, directories }) {
    Object.assign(this, { zone, region, host, ttlMaxS, directories });
  }

  /** Sends `perS` requests a second like the sample until stopped. */
  run(perS, sample) {
    this.#timers.push(setInterval(() => this.#send(sample), 1000 / perS));
  }

  stop() {
    this.#timers.forEach((timer) => clearInterval(timer));
  }

  async #resolve() {
    const query = new URLSearchParams({ name: this.host, region: this.region, zone: this.zone });
    for (const address of this.directories.slice(0, 3)) {
      const { status, body } = await get(address, `/-/resolve?${query}`, RESOLVE_TIMEOUT_MS);
      const answer = status === 200 ? JSON.parse(body) : {};
      if (answer.addresses?.length > 0) {
        this.#addresses = answer.addresses;
        this.#validUntilMs = performance.now() + Math.min(answer.ttlS, this.ttlMaxS) * 1000;
        return;
      }
    }
  }

  async #pickAddress() {
    if (performance.now() > this.#validUntilMs) {
      this.#refresh ??= this.#resolve().finally(() => {
        this.#refresh = null;
      });
      await this.#refresh;
    }
    const nowMs = performance.now();
    const sound = this.#addresses.filter((address) => !(this.#failed.get(address) > nowMs));
    return sound[Math.floor(Math.random() * sound.length)];
  }

  async #send(sample) {
    const via = await this.#pickAddress();
    const id = randomBytes(8).toString('hex');
    const sent = { ...sample, id, via, zone: this.zone, sentAtMs: performance.now() };
    if (via === undefined) {
      return;
    }
    this.onSent(sent);
    const [host, port] = via.split(':');
    const headers = {
      Host: this.host,
      'X-Attempt-Id': id,
      'X-Deadline-Ms': String(sample.deadlineMs),
      'X-Api-Key': sample.apiKey,
      Cookie: `X-Affinity-Key=${Math.floor(Math.random() * 100)}`,
    };
    const call = request({ host, port, path: sample.path, headers, agent: false }, (response) => {
      response.resume();
      response.on('error', () => undefined);
      response.on('end', () => this.onEnd(sent, response.statusCode));
    });
    call.on('socket', (socket) => {
      const timer = setTimeout(() => call.destroy(new Error('no connection')), CONNECT_MS);
      socket.once('connect', () => clearTimeout(timer));
      socket.once('close', () => clearTimeout(timer));
    });
    call.setTimeout(sample.deadlineMs, () => call.destroy(new Error('deadline')));
    call.on('error', (error) => {
      this.#failed.set(via, performance.now() + EXCLUDED_MS);
      this.onEnd(sent, error.code ?? error.message);
    });
    call.end();
  }
}
