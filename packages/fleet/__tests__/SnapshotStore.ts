/**
 * A store in one process that can return from a snapshot, with leases, watches and an era.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { fromNullable } from 'fp-ts/lib/Option.js';
import type Clock from '@burdockcove/runtime/Clock';
import waitFor from '@burdockcove/runtime/waitFor';
import type Store from '@burdockcove/store/Store';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreEra from '@burdockcove/store/StoreEra';
import type StoreEvent from '@burdockcove/store/StoreEvent';
import type StoreTransaction from '@burdockcove/store/StoreTransaction';
import type StoreError from '@burdockcove/types/StoreError';
import getRevision from '../src/getRevision.js';

const CALL_MS = 5;
const POLL_MS = 50;
const WATCH_WAIT_MS = 2000;
const WATCH_PAUSE_MS = 100;
const UNAVAILABLE: StoreError = { _tag: 'StoreUnavailable', step: 's', peer: 'p', detail: '' };
const REFUSED: StoreError = { ...UNAVAILABLE, _tag: 'StoreRefused' };

interface Snapshot {
  readonly revision: number;
  readonly nextLease: number;
  readonly leases: ReadonlyMap<number, number>;
  readonly items: ReadonlyMap<string, StoreEntry & { readonly lease: number }>;
}

/** How one VM reaches the store. */
interface StoreLink {
  isCut: boolean;
  /** Time that each response is under way. */
  responseMs: number;
}

/** Times are in milliseconds. */
export default class SnapshotStore {
  era = 0;

  /** Whether a watch from a revision that the store does not have hangs rather than being refused. */
  hangsUnknownRevisions = false;

  readonly calls: string[] = [];

  private state: Snapshot = { revision: 1, nextLease: 1, leases: new Map(), items: new Map() };

  private events: StoreEvent[] = [];

  constructor(private readonly clock: Clock) {}

  takeSnapshot(): Snapshot {
    return this.state;
  }

  /** Returns from the snapshot in the next era; leases of the snapshot live for their time from now on. */
  restore(snapshot: Snapshot): void {
    this.era += 1;
    this.state = snapshot;
    this.events = this.events.filter((event) => getRevision(event) <= snapshot.revision);
  }

  put(key: string, value: string, lease = 0): number {
    const revision = this.state.revision + 1;
    const entry = { key, value, revision, lease };
    const items = new Map(this.state.items).set(key, entry);
    this.state = { ...this.state, revision, items };
    this.events.push({ _tag: 'Put', entry: { key, value, revision } });
    return revision;
  }

  remove(key: string): void {
    const revision = this.state.revision + 1;
    const items = new Map(this.state.items);
    items.delete(key);
    this.state = { ...this.state, revision, items };
    this.events.push({ _tag: 'Delete', key, revision });
  }

  read(key: string): (StoreEntry & { readonly lease: number }) | undefined {
    return this.state.items.get(key);
  }

  /** Returns the store as a VM reaches it; like the adapter, it drops responses of an earlier era than the one known. */
  connect(era: StoreEra, link: StoreLink = { isCut: false, responseMs: 0 }): Store {
    const call = async <Value>(
      name: string,
      answer: () => Either<StoreError, Value>,
    ): Promise<Either<StoreError, { readonly value: Value; readonly era: number }>> => {
      this.calls.push(name);
      await waitFor(this.clock, CALL_MS);
      const [answered, answeredEra] = [answer(), this.era];
      await (link.responseMs > 0 ? waitFor(this.clock, link.responseMs) : undefined);
      if (link.isCut || !era.record(answeredEra)) {
        return left(UNAVAILABLE);
      }
      return answered._tag === 'Left'
        ? answered
        : right({ value: answered.right, era: answeredEra });
    };
    const unwrap =
      <Value>(name: string, answer: () => Value) =>
      async (): Promise<Either<StoreError, Value>> => {
        const answered = await call(name, () => right(answer()));
        return answered._tag === 'Left' ? answered : right(answered.right.value);
      };
    return {
      listKeys: () => async () => {
        const listed = await call('list', () => right(this.state));
        if (listed._tag === 'Left') {
          return listed;
        }
        const { items, revision } = listed.right.value;
        const entries = [...items.values()].map(({ lease: _, ...entry }) => entry);
        return right({ entries, revision, era: listed.right.era });
      },
      commitTransaction: (transaction: StoreTransaction) =>
        unwrap('commit', () => this.commit(transaction)),
      readKey: (key: string) => unwrap('read', () => fromNullable(this.read(key))),
      grantLease: () => unwrap('grant', () => this.grant()),
      keepAlive: (id: string) => unwrap('keep', () => (this.state.leases.has(Number(id)) ? 4 : 0)),
      revokeLease: () => unwrap('revoke', () => undefined),
      watchPrefix:
        (
          _prefix: string,
          from: number,
          onEvent: (event: StoreEvent) => void,
          signal: AbortSignal,
          onAnswered?: (askedAtMs?: number) => void,
        ) =>
        async () => {
          const startEra = era.current;
          let after = from - 1;
          while (!signal.aborted) {
            const askedAtMs = this.clock.getMonotonicMs();
            await this.waitForChange(after, signal);
            const known = after;
            const changes = await call('watch', () => this.listAfter(known));
            if (signal.aborted) {
              return right(undefined);
            }
            if (changes._tag === 'Left') {
              return changes;
            }
            if (changes.right.era !== startEra) {
              return left(REFUSED);
            }
            onAnswered?.(askedAtMs);
            changes.right.value.events.forEach(onEvent);
            after = Math.max(after, changes.right.value.revision);
            await waitFor(this.clock, WATCH_PAUSE_MS, signal);
          }
          return right(undefined);
        },
    };
  }

  private async waitForChange(after: number, signal: AbortSignal): Promise<void> {
    const untilMs = this.clock.getMonotonicMs() + WATCH_WAIT_MS;
    const hangs = (): boolean => this.hangsUnknownRevisions && this.state.revision < after;
    while (
      !signal.aborted &&
      (hangs() || (this.state.revision === after && this.clock.getMonotonicMs() < untilMs))
    ) {
      await waitFor(this.clock, POLL_MS, signal);
    }
  }

  private listAfter(after: number): Either<StoreError, { events: StoreEvent[]; revision: number }> {
    const { revision } = this.state;
    return after > revision
      ? left(REFUSED)
      : right({ events: this.events.filter((event) => getRevision(event) > after), revision });
  }

  private grant(): string {
    const id = this.state.nextLease;
    const leases = new Map(this.state.leases).set(id, this.clock.getMonotonicMs());
    this.state = { ...this.state, nextLease: id + 1, leases };
    return String(id);
  }

  private commit({ compares, puts }: StoreTransaction) {
    const holds = compares.every(
      ({ key, revision }) => (this.read(key)?.revision ?? 0) === revision,
    );
    if (holds) {
      puts.forEach(({ key, value, leaseId }) => this.put(key, value, Number(leaseId ?? 0)));
    }
    return { committed: holds, revision: this.state.revision };
  }
}
