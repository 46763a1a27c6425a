/**
 * Following of the store by a relay: a list, then a watch, checked now and then since a watch can go silent.
 */
import * as E from 'fp-ts/lib/Either.js';
import { Counter, type Registry } from 'prom-client';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import type Store from '@burdockcove/store/Store';
import type StoreEvent from '@burdockcove/store/StoreEvent';
import type StoreError from '@burdockcove/types/StoreError';
import computeBackoff from '../computeBackoff.js';
import type RelayRole from './RelayRole.js';
import STATE_PREFIX from './STATE_PREFIX.js';
import type StateReplica from './StateReplica.js';

const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;
const VERIFY_INTERVAL_MS = 5_000;
/** Time for a change to arrive on the watch after a read has shown it. */
const WATCH_GRACE_MS = 1_000;
const ROLE_CHECK_MS = 500;
/** Between the reads of a VM that knows no other, so that many such VMs stay within the store's limits. */
const ALONE_INTERVAL_MS = 30_000;

/** Runs at every entry VM; watches only while this one is a relay. */
export default class StoreFollower implements Child {
  readonly name = 'store-follower';

  private failures = 0;

  private mustList = true;

  private watchedRevision = 0;

  private readonly silentWatches: Counter;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly store: Store,
    private readonly replica: StateReplica,
    private readonly role: RelayRole,
    registry: Registry,
  ) {
    this.silentWatches = new Counter({
      name: 'burdockcove_replica_silent_watches_total',
      help: 'Store watches given up because a read showed a change that they had not reported',
      registers: [registry],
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.role.isRelay()) {
        await this.followOnce(signal);
      } else if (this.role.isAlone()) {
        await this.listAlone(signal);
      } else {
        await waitFor(this.clock, ROLE_CHECK_MS, signal);
      }
    }
  }

  /** Reads the state now and then, without a watch. */
  private async listAlone(signal: AbortSignal): Promise<void> {
    await waitFor(this.clock, ALONE_INTERVAL_MS * this.random.nextFloat(), signal);
    if (this.role.isAlone() && !signal.aborted) {
      await this.listState();
    }
  }

  private async followOnce(signal: AbortSignal): Promise<void> {
    const ended = await this.listThenWatch(signal);
    if (E.isLeft(ended) && !signal.aborted) {
      this.logger.warn('store not followed', { ...ended.left });
      this.mustList ||= ended.left._tag === 'StoreRefused';
      this.failures += 1;
      const backoffMs = computeBackoff(
        this.random,
        this.failures,
        FIRST_BACKOFF_MS,
        MAX_BACKOFF_MS,
      );
      await waitFor(this.clock, backoffMs, signal);
    }
  }

  private async listThenWatch(signal: AbortSignal): Promise<E.Either<StoreError, void>> {
    if (this.mustList) {
      const listed = await this.listState();
      if (E.isLeft(listed)) {
        return listed;
      }
    }
    return this.watchState(signal);
  }

  private async listState(): Promise<E.Either<StoreError, void>> {
    const sentMs = this.clock.getMonotonicMs();
    const listed = await this.store.listKeys(STATE_PREFIX)();
    if (E.isLeft(listed)) {
      return listed;
    }
    this.replica.table.mergeSnapshot(listed.right.entries, listed.right.revision);
    this.mustList = false;
    this.noteCurrent(sentMs);
    return E.right(undefined);
  }

  private async watchState(signal: AbortSignal): Promise<E.Either<StoreError, void>> {
    const ended = new AbortController();
    const stop = (): void => ended.abort();
    signal.addEventListener('abort', stop, { signal: ended.signal });
    this.watchedRevision = this.replica.table.getCompleteRevision();
    const verifying = this.verifyWatch(ended);
    const onEvent = (event: StoreEvent): void => this.applyEvent(event);
    const result = await this.store.watchPrefix(
      STATE_PREFIX,
      this.watchedRevision + 1,
      onEvent,
      ended.signal,
    )();
    ended.abort();
    await verifying;
    return result;
  }

  private applyEvent(event: StoreEvent): void {
    const entry =
      event._tag === 'Put' ? event.entry : { key: event.key, value: '', revision: event.revision };
    this.replica.table.mergeEntry(entry);
    // The changes of one transaction are reported without a pause; the revision is complete after the last.
    queueMicrotask(() => this.replica.table.markComplete(entry.revision));
    this.watchedRevision = Math.max(this.watchedRevision, entry.revision);
  }

  /** Reads what is newer than the watch has reported, until the watch ends; ends it where it is silent. */
  private async verifyWatch(ended: AbortController): Promise<void> {
    while (!ended.signal.aborted) {
      await waitFor(this.clock, VERIFY_INTERVAL_MS, ended.signal);
      if (ended.signal.aborted || !this.role.isRelay()) {
        ended.abort();
        return;
      }
      await this.verifyOnce(ended);
    }
  }

  private async verifyOnce(ended: AbortController): Promise<void> {
    const sentMs = this.clock.getMonotonicMs();
    const minRevision = this.watchedRevision + 1;
    const newer = await this.store.listKeys(STATE_PREFIX, undefined, minRevision)();
    if (E.isLeft(newer)) {
      return;
    }
    newer.right.entries.forEach((entry) => this.replica.table.mergeEntry(entry));
    this.noteCurrent(sentMs);
    const newest = Math.max(0, ...newer.right.entries.map(({ revision }) => revision));
    if (newest > this.watchedRevision) {
      await waitFor(this.clock, WATCH_GRACE_MS, ended.signal);
    }
    if (newest > this.watchedRevision && !ended.signal.aborted) {
      this.silentWatches.inc();
      this.logger.warn('store watch is silent', { step: 'store watch', peer: 'store' });
      ended.abort();
    }
  }

  private noteCurrent(sentMs: number): void {
    this.failures = 0;
    this.replica.markCurrent(sentMs);
    this.replica.markReady();
  }
}
