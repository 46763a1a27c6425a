/**
 * This entry VM's copy of the shared state.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';
import type { Registry } from 'prom-client';
import type Clock from '@burdockcove/runtime/Clock';
import type Replica from '@burdockcove/store/Replica';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import registerGauge from '../registerGauge.js';
import StateTable from './StateTable.js';

const MS_PER_SECOND = 1_000;

/** Fed by the store, by relays and by peers; ages while none of them can say that it is current. */
export default class StateReplica implements Replica {
  readonly table = new StateTable();

  private currentAtMs: number;

  private ready = false;

  private readonly readyListeners = new Set<() => void>();

  constructor(
    private readonly clock: Clock,
    registry: Registry,
  ) {
    this.currentAtMs = clock.getMonotonicMs();
    this.registerMetrics(registry);
  }

  getEntry(key: string): Option<StoreEntry> {
    const entry = this.table.getEntry(key);
    return entry === undefined || entry.value === '' ? none : some(entry);
  }

  listEntries(prefix: string): readonly StoreEntry[] {
    return this.table.listEntries(prefix);
  }

  subscribe(prefix: string, listener: (entry: StoreEntry) => void): () => void {
    return this.table.subscribe(prefix, listener);
  }

  getAgeMs(): number {
    return this.clock.getMonotonicMs() - this.currentAtMs;
  }

  /** Records that the copy was current `ageMs` before the local time `asOfMs`. */
  markCurrent(asOfMs: number, ageMs = 0): void {
    this.currentAtMs = Math.max(this.currentAtMs, asOfMs - ageMs);
  }

  /** True once the copy was filled from the store or from several peers. */
  isReady(): boolean {
    return this.ready;
  }

  markReady(): void {
    if (!this.ready) {
      this.ready = true;
      this.readyListeners.forEach((listener) => listener());
      this.readyListeners.clear();
    }
  }

  /** Resolves once the copy is ready. */
  waitReady(): Promise<void> {
    return this.ready
      ? Promise.resolve()
      : new Promise((resolve) => {
          this.readyListeners.add(resolve);
        });
  }

  private registerMetrics(registry: Registry): void {
    const getAgeSeconds = (): number => this.getAgeMs() / MS_PER_SECOND;
    const getRevision = (): number => this.table.getCompleteRevision();
    const isReady = (): number => Number(this.isReady());
    registerGauge(
      registry,
      'burdockcove_replica_age_seconds',
      'Seconds since the copy of the shared state was last known to be current',
      getAgeSeconds,
    );
    registerGauge(
      registry,
      'burdockcove_replica_revision',
      'Store revision up to which the copy of the shared state is complete',
      getRevision,
    );
    registerGauge(
      registry,
      'burdockcove_replica_ready',
      'One once the copy of the shared state was filled',
      isReady,
    );
  }
}
