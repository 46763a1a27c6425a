/**
 * This entry VM's registration: a key under a lease that is kept alive while the process serves.
 */
import { isLeft, type Either } from 'fp-ts/lib/Either.js';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import waitFor from '@burdockcove/runtime/waitFor';
import type Store from '@burdockcove/store/Store';
import type StoreError from '@burdockcove/types/StoreError';

const STEP = 'keep the membership lease';
/** Time to live: a VM that died leaves the look-ups after this time. */
const LEASE_TTL_SECONDS = 4;
const RENEW_EVERY_MS = 1300;
const RETRY_EVERY_MS = 400;

/** Registers again whenever the lease has ended. */
export default class MembershipLease implements Child {
  readonly name = 'membership-lease';

  private leaseId: string | null = null;

  private isLeaving = false;

  constructor(
    private readonly store: Store,
    private readonly key: string,
    private readonly value: string,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly mayRegister: () => boolean,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isKept = this.isLeaving || !this.mayRegister() || (await this.keep());
      await waitFor(this.clock, isKept && this.leaseId ? RENEW_EVERY_MS : RETRY_EVERY_MS, signal);
    }
  }

  /** Leaves the look-ups at once; resolves when the store knows or could not be told. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    const { leaseId } = this;
    this.leaseId = null;
    if (leaseId !== null) {
      await this.endLease(leaseId);
    }
  }

  private async endLease(leaseId: string): Promise<void> {
    const ended = await this.store.revokeLease(leaseId)();
    if (isLeft(ended)) {
      this.logFailure('lease not revoked; it ends by itself', ended.left);
    }
  }

  private async keep(): Promise<boolean> {
    if (this.leaseId === null) {
      return this.register();
    }
    const kept = await this.store.keepAlive(this.leaseId)();
    if (isLeft(kept)) {
      this.logFailure('lease not renewed', kept.left);
      return false;
    }
    if (kept.right > 0) {
      return true;
    }
    this.logger.warn('lease ended; registering again', { step: STEP });
    this.leaseId = null;
    return this.register();
  }

  private async register(): Promise<boolean> {
    const granted = await this.store.grantLease(LEASE_TTL_SECONDS)();
    if (isLeft(granted)) {
      this.logFailure('no lease granted', granted.left);
      return false;
    }
    const leaseId = granted.right;
    const committed: Either<StoreError, unknown> = await this.store.commitTransaction({
      compares: [],
      puts: [{ key: this.key, value: this.value, leaseId }],
      deletes: [],
    })();
    if (isLeft(committed)) {
      this.logFailure('registration not written', committed.left);
      return false;
    }
    this.leaseId = this.isLeaving ? null : leaseId;
    if (this.isLeaving) {
      await this.endLease(leaseId);
    }
    this.logger.info('registered', { step: STEP, leaseId });
    return true;
  }

  private logFailure(message: string, { detail, peer, _tag: kind }: StoreError): void {
    this.logger.warn(message, { step: STEP, peer, kind, detail });
  }
}
