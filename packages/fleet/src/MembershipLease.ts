/**
 * Registration of this entry VM: a key with a lease that is renewed while the process serves requests.
 */
import { isLeft, type Either } from 'fp-ts/lib/Either.js';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import waitFor from '@burdockcove/runtime/waitFor';
import type Store from '@burdockcove/store/Store';
import type StoreError from '@burdockcove/types/StoreError';

const STEP = 'keep the membership lease';
/** Time to live: a failed VM disappears from look-ups after this time. */
const LEASE_TTL_SECONDS = 4;
const RENEWAL_INTERVAL_MS = 1300;
const RETRY_INTERVAL_MS = 400;
/** How often a VM that starts looks whether it can register; this makes no call. */
const READINESS_INTERVAL_MS = 40;

/** Registers again whenever the lease has expired. */
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
    private readonly canRegister: () => boolean,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isWaiting = this.isLeaving || !this.canRegister();
      const isRenewed = !isWaiting && (await this.renew());
      await waitFor(this.clock, this.getIntervalMs(isWaiting, isRenewed), signal);
    }
  }

  private getIntervalMs(isWaiting: boolean, isRenewed: boolean): number {
    if (isWaiting) {
      return READINESS_INTERVAL_MS;
    }
    return isRenewed ? RENEWAL_INTERVAL_MS : RETRY_INTERVAL_MS;
  }

  /** Removes this VM from look-ups; resolves once the lease is revoked or the attempt failed. */
  async deregister(): Promise<void> {
    this.isLeaving = true;
    const { leaseId } = this;
    this.leaseId = null;
    if (leaseId !== null) {
      await this.revokeLease(leaseId);
    }
  }

  private async revokeLease(leaseId: string): Promise<void> {
    const revoked = await this.store.revokeLease(leaseId)();
    if (isLeft(revoked)) {
      this.logFailure('failed to revoke the lease; it will expire by itself', revoked.left);
    }
  }

  private async renew(): Promise<boolean> {
    if (this.leaseId === null) {
      return this.register();
    }
    const renewed = await this.store.keepAlive(this.leaseId)();
    if (isLeft(renewed)) {
      this.logFailure('failed to renew the lease', renewed.left);
      return false;
    }
    if (renewed.right > 0) {
      return true;
    }
    this.logger.warn('lease expired; registering again', { step: STEP });
    this.leaseId = null;
    return this.register();
  }

  private async register(): Promise<boolean> {
    const granted = await this.store.grantLease(LEASE_TTL_SECONDS)();
    if (isLeft(granted)) {
      this.logFailure('failed to obtain a lease', granted.left);
      return false;
    }
    const leaseId = granted.right;
    const committed: Either<StoreError, unknown> = await this.store.commitTransaction({
      compares: [],
      puts: [{ key: this.key, value: this.value, leaseId }],
      deletes: [],
    })();
    if (isLeft(committed)) {
      this.logFailure('failed to write the registration', committed.left);
      return false;
    }
    this.leaseId = this.isLeaving ? null : leaseId;
    if (this.isLeaving) {
      await this.revokeLease(leaseId);
    }
    this.logger.info('registered', { step: STEP, leaseId });
    return true;
  }

  private logFailure(message: string, { detail, peer, _tag: kind }: StoreError): void {
    this.logger.warn(message, { step: STEP, peer, kind, detail });
  }
}
