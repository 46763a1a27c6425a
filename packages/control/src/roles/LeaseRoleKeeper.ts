/**
 * Holding of one role through a lease in the store.
 */
import * as E from 'fp-ts/lib/Either.js';
import { isSome, none, some, type Option } from 'fp-ts/lib/Option.js';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import type HeldRole from '@burdockcove/store/HeldRole';
import type RoleKeeper from '@burdockcove/store/RoleKeeper';
import type Store from '@burdockcove/store/Store';
import type StoreError from '@burdockcove/types/StoreError';
import buildRoleRecord from './buildRoleRecord.js';
import type RoleCandidacy from './RoleCandidacy.js';

const LEASE_SECONDS = 10;
/** Time by which the local view of a lease ends before the store's, in milliseconds. */
const LEASE_MARGIN_MS = 1_000;
const KEEP_ALIVE_INTERVAL_MS = 3_000;
const ACQUIRE_INTERVAL_MS = 4_000;
const MS_PER_SECOND = 1_000;

interface Holding {
  readonly held: HeldRole;
  readonly leaseId: string;
  /** Monotonic time up to which the lease certainly lives, in milliseconds. */
  validUntilMs: number;
}

function computeValidUntil(sentMs: number, seconds: number): number {
  return sentMs + seconds * MS_PER_SECOND - LEASE_MARGIN_MS;
}

/** Holds the role only while this process's own clock says that the lease lives, counted from before it was asked for. */
export default class LeaseRoleKeeper implements RoleKeeper, Child {
  readonly name: string;

  private readonly key: string;

  private holding: Holding | undefined;

  constructor(
    readonly role: string,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly store: Store,
    private readonly candidacy: RoleCandidacy,
  ) {
    this.name = `role ${role}`;
    this.key = `roles/${role}`;
  }

  getHeldRole(): Option<HeldRole> {
    return this.holding !== undefined && this.clock.getMonotonicMs() < this.holding.validUntilMs
      ? some(this.holding.held)
      : none;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.takeStep();
      const intervalMs = this.holding === undefined ? ACQUIRE_INTERVAL_MS : KEEP_ALIVE_INTERVAL_MS;
      const jitter = 0.75 + this.random.nextFloat() / 4;
      await waitFor(this.clock, intervalMs * jitter, signal);
    }
    await this.release();
  }

  /** Gives the role up, so that another candidate can take it at once. */
  async release(): Promise<void> {
    const { holding } = this;
    this.holding = undefined;
    if (holding !== undefined) {
      this.logger.info('role given up', { step: this.name, epoch: holding.held.epoch });
      await this.store.revokeLease(holding.leaseId)();
    }
  }

  private async takeStep(): Promise<void> {
    if (!this.candidacy.isCandidate(this.role)) {
      await this.release();
    } else if (this.holding !== undefined) {
      await this.keepHolding(this.holding);
    } else {
      await this.acquireIfFree();
    }
  }

  private async keepHolding(holding: Holding): Promise<void> {
    const sentMs = this.clock.getMonotonicMs();
    const seconds = sentMs < holding.validUntilMs ? await this.keepAlive(holding) : 0;
    if (seconds === undefined) {
      return;
    }
    if (seconds === 0) {
      this.logger.warn('role lost', { step: this.name, epoch: holding.held.epoch });
      await this.release();
    } else if (this.holding !== undefined) {
      this.holding.validUntilMs = computeValidUntil(sentMs, seconds);
    }
  }

  /** Seconds left, or undefined where the store did not answer. */
  private async keepAlive(holding: Holding): Promise<number | undefined> {
    const kept = await this.store.keepAlive(holding.leaseId)();
    if (E.isRight(kept)) {
      return kept.right;
    }
    this.logger.warn('lease not kept alive', { ...kept.left });
    return undefined;
  }

  private async acquireIfFree(): Promise<void> {
    const known = await this.store.readKey(this.key)();
    if (E.isLeft(known) || isSome(known.right)) {
      return;
    }
    const sentMs = this.clock.getMonotonicMs();
    const lease = await this.store.grantLease(LEASE_SECONDS)();
    if (E.isRight(lease)) {
      await this.acquire(lease.right, sentMs);
    }
  }

  private async acquire(leaseId: string, sentMs: number): Promise<void> {
    const value = buildRoleRecord(this.candidacy.getHolder(), leaseId);
    const committed = await this.store.commitTransaction({
      compares: [{ key: this.key, revision: 0 }],
      puts: [{ key: this.key, value, leaseId }],
      deletes: [],
    })();
    const epoch = E.isRight(committed)
      ? E.right(committed.right.committed ? committed.right.revision : 0)
      : await this.readBack(committed.left, value);
    if (E.isLeft(epoch) || epoch.right === 0) {
      await this.store.revokeLease(leaseId)();
      return;
    }
    const held = { role: this.role, epoch: epoch.right, key: this.key };
    this.holding = { held, leaseId, validUntilMs: computeValidUntil(sentMs, LEASE_SECONDS) };
    this.logger.info('role acquired', { step: this.name, epoch: held.epoch });
  }

  /** Finds out what became of a write whose answer was lost; zero where the role is not this VM's. */
  private async readBack(error: StoreError, value: string): Promise<E.Either<StoreError, number>> {
    if (error._tag !== 'StoreAnswerLost') {
      return E.left(error);
    }
    const known = await this.store.readKey(this.key)();
    return E.map((entry: Option<{ readonly value: string; readonly revision: number }>) =>
      isSome(entry) && entry.value.value === value ? entry.value.revision : 0,
    )(known);
  }
}
