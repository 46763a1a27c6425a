/* eslint-disable no-await-in-loop, no-restricted-syntax, class-methods-use-this -- the steps of a test follow one another, and its stand-ins are told what to do by their owner. */
/**
 * A stand-in for the platform's store, as PROTOCOL.md describes it: one revision counter, leases that end by themselves,
 * ranges in pages, watches that wait, and transactions. It serves every call at once and loses nothing.
 *
 * `holdBack` names a transaction whose answer is lost: the call is held without an answer, and is done later if its
 * condition still holds ("A call that receives no response may have been executed, or may be executed seconds later if
 * its condition still holds").
 */
import { createServer } from 'node:http';
import { once } from 'node:events';

const PAGE_ITEMS = 500;
const FOREIGN_PREFIXES = ['op/', 'servers/'];

async function readJson(message) {
  const parts = [];
  for await (const part of message) {
    parts.push(part);
  }
  const text = Buffer.concat(parts).toString();
  return text === '' ? {} : JSON.parse(text);
}

/** Sends a body, unless the caller has gone. */
function send(response, status, body) {
  if (!response.destroyed) {
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(body));
  }
}

export default class StoreStandIn {
  /** Returns after how many milliseconds a transaction is done without an answer; null: at once, with one. */
  holdBack = () => null;

  /** Called with a line for each write and each end of a key. */
  log = () => undefined;

  writes = [];

  #revision = 1;

  #nextLease = 1;

  #items = new Map();

  #changes = [];

  #leases = new Map();

  #waiting = new Set();

  #server = createServer((message, response) => {
    this.#answer(message, response).catch(() => response.destroy());
  });

  async start(ip) {
    this.#server.listen(0, ip);
    await once(this.#server, 'listening');
    return `${ip}:${this.#server.address().port}`;
  }

  stop() {
    this.#leases.forEach(({ timer }) => clearTimeout(timer));
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes as the operator or a server does. */
  put(key, value) {
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
  }

  has(key) {
    return this.#items.has(key);
  }

  /** Returns the keys that begin with the prefix. */
  listKeys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  getLease(key) {
    return this.#items.get(key)?.lease;
  }

  #write(key, value, lease) {
    this.#revision += 1;
    const createdRev = this.#items.get(key)?.createdRev ?? this.#revision;
    const item = { key, value, revision: this.#revision, createdRev, lease };
    this.#items.set(key, item);
    this.#record(item);
  }

  #remove(key, why) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#record({ key, revision: this.#revision, deleted: true });
      this.log(`${key} removed (${why})`);
    }
  }

  #record(change) {
    this.#changes.push(change);
    this.#waiting.forEach((wake) => wake());
  }

  /** Lets a lease run from now on. */
  #runLease(lease, ttlS) {
    clearTimeout(this.#leases.get(lease)?.timer);
    const timer = setTimeout(() => this.#endLease(lease, 'its lease ran out'), ttlS * 1000);
    this.#leases.set(lease, { ttlS, timer });
  }

  #endLease(lease, why) {
    clearTimeout(this.#leases.get(lease)?.timer);
    this.#leases.delete(lease);
    [...this.#items.values()]
      .filter((item) => item.lease === lease)
      .forEach(({ key }) => this.#remove(key, `${why}, lease ${lease}`));
  }

  async #answer(message, response) {
    const url = new URL(message.url, 'http://store');
    const [, , call, id] = url.pathname.split('/');
    const body = await readJson(message);
    const prefix = url.searchParams.get('pathPrefix') ?? '';
    switch (call) {
      case 'kv-key':
        this.#sendItem(response, url.searchParams.get('key') ?? '');
        break;
      case 'kv-range':
        this.#sendRange(response, prefix, url.searchParams.get('after') ?? '');
        break;
      case 'kv-watch':
        await this.#sendChanges(response, prefix, url.searchParams);
        break;
      case 'kv-txn':
        this.#takeTransaction(response, body);
        break;
      case 'kv-lease': {
        const lease = this.#nextLease;
        this.#nextLease += 1;
        this.#runLease(lease, body.ttlS_time);
        this.writes.push({ atMs: performance.now(), isLost: false });
        this.log(`lease ${lease} granted for ${body.ttlS_time} s`);
        send(response, 200, { lease, ttlS_time: body.ttlS_time });
        break;
      }
      case 'kv-keep': {
        const known = this.#leases.get(Number(id));
        if (known !== undefined) {
          this.#runLease(Number(id), known.ttlS);
        }
        send(response, known === undefined ? 404 : 200, { ttlS_time: known?.ttlS });
        break;
      }
      case 'kv-lease-end':
        this.writes.push({ atMs: performance.now(), isLost: false });
        this.#endLease(Number(id), 'its owner ended its lease');
        send(response, 200, {});
        break;
      default:
        send(response, 404, {});
    }
  }

  #sendItem(response, key) {
    const item = this.#items.get(key);
    send(response, item === undefined ? 404 : 200, { ...item, at: this.#revision });
  }

  #sendRange(response, prefix, after) {
    const keys = this.listKeys(prefix)
      .filter((key) => key > after)
      .sort();
    const page = keys.slice(0, PAGE_ITEMS);
    const items = page.map((key) => this.#items.get(key));
    send(response, 200, { items, hasMore: keys.length > page.length, at: this.#revision });
  }

  async #sendChanges(response, prefix, query) {
    const after = Number(query.get('after'));
    const find = () =>
      this.#changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const endsAtMs = performance.now() + Number(query.get('waitMs'));
    while (find().length === 0 && performance.now() < endsAtMs && !response.destroyed) {
      await this.#waitForChange(endsAtMs - performance.now());
    }
    send(response, 200, { events: find(), at: this.#revision });
  }

  async #waitForChange(waitMs) {
    await new Promise((resolve) => {
      let timer = null;
      const wake = () => {
        this.#waiting.delete(wake);
        clearTimeout(timer);
        resolve();
      };
      timer = setTimeout(wake, waitMs);
      this.#waiting.add(wake);
    });
  }

  #takeTransaction(response, body) {
    const { precondition = [], puts = [], remove = [] } = body;
    const keys = [...puts.map(({ key }) => key), ...remove];
    if (keys.some((key) => FOREIGN_PREFIXES.some((prefix) => key.startsWith(prefix)))) {
      send(response, 403, {});
      return;
    }
    const delayMs = this.holdBack({ precondition, puts, remove });
    const isLost = delayMs !== null;
    this.writes.push({ atMs: performance.now(), isLost });
    const about = `write of ${keys.join(', ')} (leases ${puts.map(({ lease }) => lease).join(', ')}, ${precondition.length} conditions)`;
    if (isLost) {
      this.log(`${about}: no answer, to be done ${delayMs} ms later`);
      setTimeout(() => {
        const { status } = this.#commit({ precondition, puts, remove });
        this.log(`${about}: done late, with status ${status}`);
      }, delayMs);
      return;
    }
    const { status, result } = this.#commit({ precondition, puts, remove });
    this.log(`${about}: status ${status}`);
    send(response, status, result);
  }

  #commit({ precondition, puts, remove }) {
    const holds = precondition.every(
      ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      const items = precondition.map(({ key }) => this.#items.get(key)).filter(Boolean);
      return { status: 412, result: { items } };
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
      return { status: 404, result: {} };
    }
    puts.forEach(({ key, value, lease = 0 }) => this.#write(key, value, lease));
    remove.forEach((key) => this.#remove(key, 'by a call'));
    return { status: 200, result: { revision: this.#revision } };
  }
}
