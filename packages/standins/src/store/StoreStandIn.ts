/**
 * A stand-in for the platform's store: limits, faults and counts around `StoreCore`, used in process as a `Store`.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { fromNullable, type Option } from 'fp-ts/lib/Option.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Store from '@burdockcove/store/Store';
import type StoreCommit from '@burdockcove/store/StoreCommit';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreEvent from '@burdockcove/store/StoreEvent';
import type StoreTransaction from '@burdockcove/store/StoreTransaction';
import type StoreError from '@burdockcove/types/StoreError';
import CallMeter from './CallMeter.js';
import StoreCore from './StoreCore.js';
import StoreGate from './StoreGate.js';
import buildStoreError from './buildStoreError.js';

const WRITES_PER_SECOND = 500;
const READS_PER_SECOND = 2_000;
const MAX_VALUE_BYTES = 1_048_576;

interface OpenWatch {
  readonly cut: () => void;
  readonly silence: () => void;
}

/** Every fault is a method; counts are of calls made, refused ones among them. */
export default class StoreStandIn implements Store {
  readonly meter: CallMeter;

  private readonly core: StoreCore;

  private readonly gate: StoreGate;

  private readonly watches = new Set<OpenWatch>();

  private readonly downListeners = new Set<(down: boolean) => void>();

  constructor(
    clock: Clock,
    limits: { readonly writesPerSecond?: number; readonly readsPerSecond?: number } = {},
  ) {
    this.core = new StoreCore(clock);
    this.meter = new CallMeter(clock, {
      writesPerSecond: limits.writesPerSecond ?? WRITES_PER_SECOND,
      readsPerSecond: limits.readsPerSecond ?? READS_PER_SECOND,
    });
    this.gate = new StoreGate(clock, this.meter);
  }

  /** Takes the store down or up; going down cuts every watch. Leases go on ending. */
  setDown(down: boolean): void {
    this.gate.setDown(down);
    this.downListeners.forEach((listener) => listener(down));
    if (down) {
      this.cutWatches();
    }
  }

  isDown(): boolean {
    return this.gate.isDown();
  }

  subscribeDown(listener: (down: boolean) => void): () => void {
    this.downListeners.add(listener);
    return () => this.downListeners.delete(listener);
  }

  /** Delays every call by the milliseconds; writes slower than the timeout take effect unanswered. */
  setDelay(delayMs: number): void {
    this.gate.setDelay(delayMs);
  }

  /** Applies the next writes but loses their answers. */
  loseAnswers(count: number): void {
    this.gate.loseAnswers(count);
  }

  /** Ends a lease at once. */
  lapseLease(leaseId: string): void {
    this.core.revokeLease(leaseId);
  }

  /** Ends every lease at once. */
  lapseLeases(): void {
    this.core.listLeases().forEach((id) => this.core.revokeLease(id));
  }

  /** Breaks every open watch. */
  cutWatches(): void {
    [...this.watches].forEach((watch) => watch.cut());
  }

  /** Leaves every open watch standing but reports nothing on it any more. */
  silenceWatches(): void {
    this.watches.forEach((watch) => watch.silence());
  }

  /** Forgets old changes, so that watches must start from a fresh list. */
  compactHistory(): void {
    this.core.compactHistory();
  }

  getRevision(): number {
    return this.core.getRevision();
  }

  readKey(key: string): TaskEither<StoreError, Option<StoreEntry>> {
    return this.gate.runRead('read', () => right(fromNullable(this.core.getEntry(key))));
  }

  listKeys(
    prefix: string,
    limit = Number.MAX_SAFE_INTEGER,
    minRevision = 0,
  ): TaskEither<
    StoreError,
    { readonly entries: readonly StoreEntry[]; readonly revision: number }
  > {
    return this.gate.runRead('list', () =>
      right({
        entries: this.core.listEntries(prefix, limit, minRevision),
        revision: this.core.getRevision(),
      }),
    );
  }

  commitTransaction(transaction: StoreTransaction): TaskEither<StoreError, StoreCommit> {
    return this.gate.runWrite('commit', () => {
      const refusal = this.checkTransaction(transaction);
      return refusal === undefined
        ? right(this.core.commitTransaction(transaction))
        : left(buildStoreError('StoreRefused', 'commit', refusal));
    });
  }

  grantLease(ttlSeconds: number): TaskEither<StoreError, string> {
    return this.gate.runWrite('grant', () => right(this.core.grantLease(ttlSeconds)));
  }

  keepAlive(leaseId: string): TaskEither<StoreError, number> {
    return this.gate.runWrite('keep-alive', () => right(this.core.keepAlive(leaseId)));
  }

  revokeLease(leaseId: string): TaskEither<StoreError, void> {
    return this.gate.runWrite('revoke', () => right(this.core.revokeLease(leaseId)));
  }

  watchPrefix(
    prefix: string,
    fromRevision: number,
    onEvent: (event: StoreEvent) => void,
    signal: AbortSignal,
  ): TaskEither<StoreError, void> {
    return async () => {
      const started = await this.gate.runRead('watch', () => right(undefined))();
      if (started._tag === 'Left' || signal.aborted) {
        return started;
      }
      if (fromRevision < this.core.getCompactedRevision()) {
        return left(buildStoreError('StoreRefused', 'watch', 'revision compacted'));
      }
      return this.holdWatch(prefix, fromRevision, onEvent, signal);
    };
  }

  private holdWatch(
    prefix: string,
    fromRevision: number,
    onEvent: (event: StoreEvent) => void,
    signal: AbortSignal,
  ): Promise<Either<StoreError, void>> {
    return new Promise((resolve) => {
      const remove = this.core.addWatcher(prefix, fromRevision, onEvent);
      const ended = new AbortController();
      const end = (result: Either<StoreError, void>): void => {
        remove();
        ended.abort();
        resolve(result);
      };
      const cut = (): void => end(left(buildStoreError('StoreUnavailable', 'watch', 'watch cut')));
      this.openWatch({ cut, silence: remove }, ended.signal);
      signal.addEventListener('abort', () => end(right(undefined)), {
        once: true,
        signal: ended.signal,
      });
    });
  }

  private openWatch(watch: OpenWatch, ended: AbortSignal): void {
    this.watches.add(watch);
    this.meter.openWatch();
    ended.addEventListener('abort', () => {
      this.watches.delete(watch);
      this.meter.closeWatch();
    });
  }

  private checkTransaction(transaction: StoreTransaction): string | undefined {
    if (transaction.puts.some(({ value }) => Buffer.byteLength(value) > MAX_VALUE_BYTES)) {
      return 'value too large';
    }
    const unknown = transaction.puts.some(
      ({ leaseId }) => leaseId !== undefined && !this.core.hasLease(leaseId),
    );
    return unknown ? 'lease not found' : undefined;
  }
}
