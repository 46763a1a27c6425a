/**
 * A store in one process whose writes may be done late, or not at all, without an answer.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { fromNullable } from 'fp-ts/lib/Option.js';
import type FakeClock from '@burdockcove/runtime/FakeClock';
import waitFor from '@burdockcove/runtime/waitFor';
import type Store from '@burdockcove/store/Store';
import type StoreCommit from '@burdockcove/store/StoreCommit';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreEvent from '@burdockcove/store/StoreEvent';
import type StoreTransaction from '@burdockcove/store/StoreTransaction';
import type StoreError from '@burdockcove/types/StoreError';

const CALL_MS = 5;
const TIMEOUT_MS = 1200;
const LOST: StoreError = { _tag: 'StoreAnswerLost', step: 's', peer: 'p', detail: '' };
const NO_LEASE: StoreError = { ...LOST, _tag: 'StoreRefused' };

interface Item extends StoreEntry {
  readonly lease: string;
}

/** Times are in milliseconds. */
export default class LateStore {
  /** Delays of the next writes whose answers are lost; Infinity: it is not done. Others are answered. */
  delaysMs: (number | null)[] = [];

  onEvent: (event: StoreEvent) => void = () => undefined;

  private revision = 0;

  private readonly items = new Map<string, Item>();

  /** Since when each key has been there without a gap. */
  private readonly sinceMs = new Map<string, number>();

  private readonly leaseEndsMs = new Map<string, number>();

  constructor(private readonly clock: FakeClock) {}

  read(key: string): Item | undefined {
    this.expireLeases();
    return this.items.get(key);
  }

  /** Returns the time since which the key has been there without a gap; Infinity if it is not. */
  getSinceMs(key: string): number {
    this.expireLeases();
    return this.sinceMs.get(key) ?? Infinity;
  }

  put(key: string, value: string, lease: string): void {
    this.revision += 1;
    const entry = { key, value, revision: this.revision };
    this.items.set(key, { ...entry, lease });
    this.sinceMs.set(key, this.sinceMs.get(key) ?? this.clock.getMonotonicMs());
    this.onEvent({ _tag: 'Put', entry });
  }

  grant(ttlMs: number): string {
    const id = String(this.leaseEndsMs.size + 1);
    this.leaseEndsMs.set(id, this.clock.getMonotonicMs() + ttlMs);
    return id;
  }

  /** Removes the keys of the leases that have ended. */
  expireLeases(): void {
    [...this.items.values()]
      .filter(({ lease }) => !this.isAlive(lease))
      .forEach(({ key }) => this.remove(key));
  }

  connect(): Store {
    const answer =
      <Value>(run: () => Either<StoreError, Value>) =>
      async () => {
        await waitFor(this.clock, CALL_MS);
        this.expireLeases();
        return run();
      };
    return {
      readKey: (key: string) => answer(() => right(fromNullable(this.items.get(key)))),
      grantLease: (ttlSeconds: number) => answer(() => right(this.grant(ttlSeconds * 1000))),
      keepAlive: (id: string) => answer(() => right(this.keep(id))),
      revokeLease: (id: string) => answer(() => right(this.revoke(id))),
      commitTransaction: (transaction: StoreTransaction) => async () => {
        const delayMs = this.delaysMs.shift() ?? null;
        if (delayMs === null) {
          return answer(() => this.commit(transaction))();
        }
        if (delayMs < Infinity) {
          this.clock.startTimer(delayMs, () => this.commit(transaction));
        }
        await waitFor(this.clock, TIMEOUT_MS);
        return left(LOST);
      },
    } as unknown as Store;
  }

  private isAlive(lease: string): boolean {
    return (this.leaseEndsMs.get(lease) ?? -Infinity) > this.clock.getMonotonicMs();
  }

  private keep(id: string): number {
    if (!this.isAlive(id)) {
      return 0;
    }
    this.leaseEndsMs.set(id, this.clock.getMonotonicMs() + 4000);
    return 4;
  }

  private revoke(id: string): void {
    this.leaseEndsMs.set(id, -Infinity);
    this.expireLeases();
  }

  private remove(key: string): void {
    this.revision += 1;
    this.items.delete(key);
    this.sinceMs.delete(key);
    this.onEvent({ _tag: 'Delete', key, revision: this.revision });
  }

  private commit({ compares, puts }: StoreTransaction): Either<StoreError, StoreCommit> {
    this.expireLeases();
    if (puts.some(({ leaseId }) => !this.isAlive(leaseId ?? ''))) {
      return left(NO_LEASE);
    }
    const committed = compares.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (committed) {
      puts.forEach(({ key, value, leaseId }) => this.put(key, value, leaseId ?? ''));
    }
    return right({ committed, revision: this.revision });
  }
}
