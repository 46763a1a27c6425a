/**
 * Follows the store: one list, then one watch, for as long as the process runs. When the store has returned from a
 * snapshot, the watch that is running ends, since it may hang or report reused revisions, and the state is listed again.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import type Store from '@burdockcove/store/Store';
import StoreEra from '@burdockcove/store/StoreEra';
import type StoreError from '@burdockcove/types/StoreError';
import type ReaderRole from './ReaderRole.js';
import type StateReplica from './StateReplica.js';

const STEP = 'follow the store';
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 300;
/** How often a VM that does not read the store looks whether it has to. */
const ROLE_INTERVAL_MS = 200;
/** Consecutive failures after which the store is unavailable; a single watch may be interrupted at any time. */
const UNAVAILABLE_AFTER_FAILURES = 2;

/** Retries indefinitely with jittered exponential backoff. */
export default class StateFollower implements Child {
  readonly name = 'state-follower';

  private consecutiveFailures = 0;

  constructor(
    private readonly store: Store,
    private readonly prefix: string,
    private readonly replica: StateReplica,
    private readonly role: Pick<ReaderRole, 'shouldReadStore'>,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly era: StoreEra = new StoreEra(),
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    let shouldList = true;
    while (!signal.aborted) {
      shouldList ||= this.replica.isOutdated();
      if (!shouldList && !this.role.shouldReadStore()) {
        await waitFor(this.clock, ROLE_INTERVAL_MS, signal);
        continue;
      }
      const error: StoreError | null = shouldList
        ? await this.listState()
        : await this.watchState(signal);
      shouldList = error !== null && (shouldList || error._tag === 'StoreRefused');
      if (error !== null && !signal.aborted) {
        await this.handleFailure(error, signal);
      }
    }
  }

  private async listState(): Promise<StoreError | null> {
    const askedAtMs = this.clock.getMonotonicMs();
    const listed = await this.store.listKeys(this.prefix)();
    if (isLeft(listed)) {
      return listed.left;
    }
    const { entries, revision, era = 0 } = listed.right;
    const isEarlier = era === this.replica.era && revision < this.replica.revision;
    if (era < this.replica.era || isEarlier) {
      return {
        _tag: 'StoreMalformed',
        step: STEP,
        peer: 'store',
        detail: 'the revision went back',
      };
    }
    this.recordSuccess(askedAtMs);
    this.replica.replaceState(entries, revision, era);
    this.logger.info('state listed', { step: STEP, revision, era, entries: entries.length });
    return null;
  }

  /** Watches until the signal is aborted, the watch fails, the era rises, or another VM reads the store for this one. */
  private async watchState(signal: AbortSignal): Promise<StoreError | null> {
    const session = new AbortController();
    const end = (): void => session.abort();
    signal.addEventListener('abort', end, { once: true });
    const unsubscribe = this.era.subscribe(end);
    const { era } = this.replica;
    const watched = await this.store.watchPrefix(
      this.prefix,
      this.replica.revision + 1,
      (event) => this.replica.applyEvent(event, era),
      session.signal,
      (askedAtMs) => {
        this.recordSuccess(askedAtMs);
        if (!this.role.shouldReadStore()) {
          end();
        }
      },
    )();
    unsubscribe();
    signal.removeEventListener('abort', end);
    return isLeft(watched) ? watched.left : null;
  }

  /** The time is the one at which the store was asked, if it is known. */
  private recordSuccess(askedAtMs: number | undefined): void {
    this.replica.recordConfirmed();
    if (askedAtMs !== undefined) {
      this.replica.recordVerified(askedAtMs);
    }
    this.consecutiveFailures = 0;
    if (this.replica.isStoreSilent()) {
      this.logger.info('store available again', { step: STEP, revision: this.replica.revision });
      this.replica.setStoreSilent(false);
      this.replica.markStoreAvailable();
    }
  }

  private async handleFailure(error: StoreError, signal: AbortSignal): Promise<void> {
    this.consecutiveFailures += 1;
    const { detail, peer, _tag: kind } = error;
    if (
      !this.replica.isStoreSilent() &&
      this.consecutiveFailures >= UNAVAILABLE_AFTER_FAILURES &&
      kind !== 'StoreRefused'
    ) {
      this.logger.warn('store unavailable', {
        step: STEP,
        peer,
        kind,
        detail,
        revision: this.replica.revision,
      });
      this.replica.setStoreSilent(true);
      this.replica.markStoreUnavailable();
    }
    const maxDelayMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** (this.consecutiveFailures - 1),
    );
    await waitFor(this.clock, maxDelayMs * (0.5 + this.random.nextFloat() / 2), signal);
  }
}
