/**
 * Stand-in for the platform's store: items, long polls, transactions and leases that run out, as the protocol page says.
 */
/* eslint-disable no-restricted-syntax -- the steps follow each other. */
import { createServer } from 'node:http';

const HISTORY_MS = 20_000;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;

async function readJson(request) {
  const parts = [];
  for await (const part of request) {
    parts.push(part);
  }
  const text = Buffer.concat(parts).toString();
  return text === '' ? {} : JSON.parse(text);
}

function send(response, status, body) {
  if (!response.destroyed) {
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(body));
  }
}

export default class StoreStandIn {
  /** Returns how a call is disturbed: undefined, a status, 'reset' or 'silent'. */
  disturb;

  revision = 1;

  items = new Map();

  changes = [];

  /** Changes up to this revision are no longer known. */
  forgottenRevision = 0;

  leases = new Map();

  nextLease = 1;

  waiting = new Set();

  server = createServer((request, response) => {
    this.answer(request, response).catch(() => response.destroy());
  });

  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.timer = setInterval(() => this.tick(), 50);
    return `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  put(key, value, lease = 0) {
    this.revision += 1;
    const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
    const { revision } = this;
    const createdRev = this.items.get(key)?.createdRev ?? revision;
    const item = { key, value: bytes.toString('base64'), revision, createdRev, lease };
    this.items.set(key, item);
    this.record(item);
  }

  remove(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.record({ key, revision: this.revision, deleted: true });
    }
  }

  record(change) {
    this.changes.push({ change, atMs: performance.now() });
    this.waiting.forEach((wake) => wake());
  }

  /** Ends leases whose time is over and forgets old history. */
  tick() {
    const nowMs = performance.now();
    this.leases.forEach(({ endsAtMs }, lease) => {
      if (endsAtMs < nowMs) {
        this.endLease(lease);
      }
    });
    while (this.changes.length > 0 && this.changes[0].atMs < nowMs - HISTORY_MS) {
      this.forgottenRevision = this.changes.shift().change.revision;
    }
  }

  endLease(lease) {
    this.leases.delete(lease);
    [...this.items.values()]
      .filter((item) => item.lease === lease)
      .forEach(({ key }) => this.remove(key));
  }

  async answer(request, response) {
    const url = new URL(request.url, 'http://store');
    const disturbance = this.disturb?.(request);
    if (disturbance === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    if (disturbance === 'silent') {
      return;
    }
    const body = await readJson(request);
    if (disturbance !== undefined) {
      send(response, disturbance, {});
      return;
    }
    const [, , call, id] = url.pathname.split('/');
    const query = url.searchParams;
    const prefix = query.get('pathPrefix') ?? '';
    if (call === 'kv-range') {
      this.sendRange(response, prefix, query.get('after') ?? '');
    } else if (call === 'kv-watch') {
      await this.sendChanges(response, prefix, query);
    } else if (call === 'kv-txn') {
      this.commit(response, body);
    } else if (call === 'kv-lease') {
      this.grant(response, body);
    } else if (call === 'kv-keep') {
      this.renew(response, Number(id));
    } else if (call === 'kv-lease-end') {
      this.endLease(Number(id));
      send(response, 200, {});
    } else {
      const item = this.items.get(query.get('key'));
      send(response, item === undefined ? 404 : 200, { ...item, at: this.revision });
    }
  }

  grant(response, { ttlS_time: ttlS }) {
    const lease = this.nextLease;
    this.nextLease += 1;
    this.leases.set(lease, { ttlS, endsAtMs: performance.now() + ttlS * 1000 });
    send(response, 200, { lease, ttlS_time: ttlS });
  }

  renew(response, lease) {
    const known = this.leases.get(lease);
    if (known === undefined) {
      send(response, 404, {});
      return;
    }
    known.endsAtMs = performance.now() + known.ttlS * 1000;
    send(response, 200, { ttlS_time: known.ttlS });
  }

  sendRange(response, prefix, after) {
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const page = [];
    let bytes = 0;
    for (const key of keys) {
      const item = this.items.get(key);
      bytes += item.value.length;
      if (page.length > 0 && (bytes > PAGE_BYTES || page.length >= PAGE_ITEMS)) {
        break;
      }
      page.push(item);
    }
    const hasMore = page.length < keys.length;
    send(response, 200, { items: page, hasMore, at: this.revision });
  }

  async sendChanges(response, prefix, query) {
    const after = Number(query.get('after'));
    if (after < this.forgottenRevision) {
      send(response, 410, {});
      return;
    }
    const find = () =>
      this.changes
        .map(({ change }) => change)
        .filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    if (find().length === 0) {
      await this.waitForChange(Number(query.get('waitMs')));
    }
    send(response, 200, { events: find(), at: this.revision });
  }

  waitForChange(waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        this.waiting.delete(wake);
        resolve();
      };
      setTimeout(wake, waitMs).unref();
      this.waiting.add(wake);
    });
  }

  commit(response, { precondition, puts, remove }) {
    const isMet = precondition.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      send(response, 412, { items: [] });
      return;
    }
    if (puts.some(({ lease }) => lease !== 0 && !this.leases.has(lease))) {
      send(response, 404, {});
      return;
    }
    puts.forEach(({ key, value, lease }) => this.put(key, Buffer.from(value, 'base64'), lease));
    remove.forEach((key) => this.remove(key));
    send(response, 200, { revision: this.revision });
  }
}
