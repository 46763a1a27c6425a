/**
 * The data of the store stand-in: keys, revisions, leases and watches, without limits or faults.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';
import type StoreCommit from '@burdockcove/store/StoreCommit';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreEvent from '@burdockcove/store/StoreEvent';
import type StoreTransaction from '@burdockcove/store/StoreTransaction';
import getEventKey from './getEventKey.js';

/** Changes kept for watches that start in the past. */
const MAX_HISTORY = 10_000;
const MS_PER_SECOND = 1_000;

interface Lease {
  readonly ttlSeconds: number;
  readonly keys: Set<string>;
  endsAtMs: number;
  timer: Timer;
}

interface Watcher {
  readonly prefix: string;
  readonly onEvent: (event: StoreEvent) => void;
}

function isWatched(watcher: Watcher, event: StoreEvent): boolean {
  return getEventKey(event).startsWith(watcher.prefix);
}

/** Revisions grow by one with each transaction that changes a key. */
export default class StoreCore {
  private readonly entries = new Map<string, StoreEntry>();

  private readonly leases = new Map<string, Lease>();

  private readonly watchers = new Set<Watcher>();

  private readonly history: { readonly revision: number; readonly event: StoreEvent }[] = [];

  private revision = 1;

  private compactedRevision = 0;

  private lastLeaseId = 1_000;

  constructor(private readonly clock: Clock) {}

  getRevision(): number {
    return this.revision;
  }

  /** Changes older than this revision are no longer kept. */
  getCompactedRevision(): number {
    return this.compactedRevision;
  }

  getEntry(key: string): StoreEntry | undefined {
    return this.entries.get(key);
  }

  listEntries(prefix: string, limit: number, minRevision: number): readonly StoreEntry[] {
    return [...this.entries.values()]
      .filter((entry) => entry.key.startsWith(prefix) && entry.revision >= minRevision)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .slice(0, limit);
  }

  commitTransaction(transaction: StoreTransaction): StoreCommit {
    const holds = transaction.compares.every(
      ({ key, revision }) => (this.entries.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      return { committed: false, revision: this.revision };
    }
    this.applyTransaction(transaction);
    return { committed: true, revision: this.revision };
  }

  grantLease(ttlSeconds: number): string {
    this.lastLeaseId += 1;
    const id = String(this.lastLeaseId);
    this.leases.set(id, {
      ttlSeconds,
      keys: new Set(),
      endsAtMs: this.clock.getMonotonicMs() + ttlSeconds * MS_PER_SECOND,
      timer: this.startLeaseTimer(id, ttlSeconds),
    });
    return id;
  }

  hasLease(id: string): boolean {
    return this.leases.has(id);
  }

  /** Returns the seconds left, zero when the lease has ended. */
  keepAlive(id: string): number {
    const lease = this.leases.get(id);
    if (lease === undefined) {
      return 0;
    }
    lease.timer.cancel();
    lease.timer = this.startLeaseTimer(id, lease.ttlSeconds);
    lease.endsAtMs = this.clock.getMonotonicMs() + lease.ttlSeconds * MS_PER_SECOND;
    return lease.ttlSeconds;
  }

  /** Ends the lease and deletes its keys. */
  revokeLease(id: string): void {
    const lease = this.leases.get(id);
    if (lease === undefined) {
      return;
    }
    lease.timer.cancel();
    this.leases.delete(id);
    this.applyTransaction({ compares: [], puts: [], deletes: [...lease.keys] });
  }

  listLeases(): readonly string[] {
    return [...this.leases.keys()];
  }

  /** Reports kept changes from the revision on, then each new one; returns the way to stop. */
  addWatcher(
    prefix: string,
    fromRevision: number,
    onEvent: (event: StoreEvent) => void,
  ): () => void {
    const watcher = { prefix, onEvent };
    this.history
      .filter(({ revision, event }) => revision >= fromRevision && isWatched(watcher, event))
      .forEach(({ event }) => onEvent(event));
    this.watchers.add(watcher);
    return () => this.watchers.delete(watcher);
  }

  /** Forgets all kept changes, so that watches cannot start in the past. */
  compactHistory(): void {
    this.history.length = 0;
    this.compactedRevision = this.revision + 1;
  }

  private startLeaseTimer(id: string, ttlSeconds: number): Timer {
    return this.clock.startTimer(ttlSeconds * MS_PER_SECOND, () => this.revokeLease(id));
  }

  private applyTransaction(transaction: StoreTransaction): void {
    const deleted = transaction.deletes.filter((key) => this.entries.has(key));
    if (transaction.puts.length + deleted.length === 0) {
      return;
    }
    this.revision += 1;
    const { revision } = this;
    const puts = transaction.puts.map(({ key, value, leaseId }): StoreEvent => {
      const entry = { key, value, revision };
      this.entries.set(key, entry);
      this.bindLease(key, leaseId);
      return { _tag: 'Put', entry };
    });
    const deletes = deleted.map((key): StoreEvent => {
      this.entries.delete(key);
      this.bindLease(key, undefined);
      return { _tag: 'Delete', key, revision };
    });
    [...puts, ...deletes].forEach((event) => this.publishEvent(event, revision));
  }

  private bindLease(key: string, leaseId: string | undefined): void {
    this.leases.forEach((lease) => lease.keys.delete(key));
    if (leaseId !== undefined) {
      this.leases.get(leaseId)?.keys.add(key);
    }
  }

  private publishEvent(event: StoreEvent, revision: number): void {
    this.history.push({ revision, event });
    if (this.history.length > MAX_HISTORY) {
      this.compactedRevision = (this.history.shift()?.revision ?? 0) + 1;
    }
    [...this.watchers]
      .filter((watcher) => isWatched(watcher, event))
      .forEach((watcher) => watcher.onEvent(event));
  }
}
