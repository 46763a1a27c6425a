/**
 * Registration of this entry VM: a key with a lease that is renewed while the process serves requests.
 *
 * The lease alone is no proof of the registration. This VM's copy of the store's state may show that the entry is gone,
 * or is another one than this process has written; it then counts as lost at once, and is written again.
 *
 * When the store has returned from a snapshot, the lease, the key or both may be lost, or the lease's id issued again for
 * another one. So the old lease is not used any more, and the registration is written again with a new one.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import { isNone } from 'fp-ts/lib/Option.js';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import waitFor from '@burdockcove/runtime/waitFor';
import type Store from '@burdockcove/store/Store';
import StoreEra from '@burdockcove/store/StoreEra';
import type StoreError from '@burdockcove/types/StoreError';
import LEASE_MS from './LEASE_MS.js';
import LeaseTimes from './LeaseTimes.js';
import type MemberRegistration from './MemberRegistration.js';
import type OwnEntryView from './OwnEntryView.js';
import RegistrationWriter from './RegistrationWriter.js';

const STEP = 'keep the membership lease';
const LEASE_TTL_SECONDS = LEASE_MS / 1000;
const RENEWAL_INTERVAL_MS = 1300;
const RETRY_INTERVAL_MS = 400;
/** A call to the store ends within this time. */
const MAX_CALL_MS = 1200;
/** How often a VM that starts looks whether it can register; this makes no call. */
const READINESS_INTERVAL_MS = 40;

/** A lease that was granted to this process, whether it holds the registration or not. */
interface GrantedLease {
  readonly id: string;
  /** Era of the store in which the lease was granted. */
  readonly era: number;
  /** Monotonic time at which the grant or the last renewal that succeeded was requested, in milliseconds. */
  readonly renewedAtMs: number;
}

/** The entry that this process has written last, as long as it is not known to be lost. */
interface WrittenEntry {
  readonly revision: number;
  readonly era: number;
}

/** Registers again whenever the lease has expired or the entry is lost. */
export default class MembershipLease implements Child {
  readonly name = 'membership-lease';

  private lease: GrantedLease | null = null;

  private written: WrittenEntry | null = null;

  private isLeaving = false;

  private readonly times: LeaseTimes;

  private readonly writer: RegistrationWriter;

  constructor(
    private readonly store: Store,
    registration: MemberRegistration,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly canRegister: () => boolean,
    private readonly view: OwnEntryView,
    private readonly era: StoreEra = new StoreEra(),
  ) {
    this.times = new LeaseTimes(clock);
    this.writer = new RegistrationWriter(store, registration, clock, view);
  }

  /** Returns the monotonic time until which the lease is surely valid; -Infinity without one. */
  getValidUntilMs(): number {
    return this.times.getValidUntilMs();
  }

  /**
   * Returns the monotonic time since which this VM has been registered without a gap, also by an earlier process whose
   * registration this one has replaced; Infinity while it is not registered.
   */
  getRegisteredSinceMs(): number {
    return this.isEntryLost() ? Infinity : this.times.getRegisteredSinceMs();
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isWaiting = this.isLeaving || !this.canRegister();
      const isRenewed = !isWaiting && (await this.renew());
      await this.waitForNext(this.getIntervalMs(isWaiting, isRenewed), signal);
    }
  }

  /** Waits until the time has passed, the era rises or the signal is aborted. */
  private async waitForNext(delayMs: number, signal: AbortSignal): Promise<void> {
    const session = new AbortController();
    const end = (): void => session.abort();
    signal.addEventListener('abort', end, { once: true });
    const unsubscribe = this.era.subscribe(end);
    await waitFor(this.clock, delayMs, signal.aborted ? signal : session.signal);
    unsubscribe();
    signal.removeEventListener('abort', end);
  }

  private getIntervalMs(isWaiting: boolean, isRenewed: boolean): number {
    if (isWaiting) {
      return READINESS_INTERVAL_MS;
    }
    return isRenewed ? RENEWAL_INTERVAL_MS : RETRY_INTERVAL_MS;
  }

  /**
   * Removes this VM from look-ups; resolves once the lease is revoked or the attempt failed. Without its lease, a write
   * of the registration that is still under way has no effect.
   */
  async deregister(): Promise<void> {
    this.isLeaving = true;
    const { lease } = this;
    this.lease = null;
    this.recordLoss();
    // An id of an earlier era may have been issued again for the lease of another VM.
    if (lease !== null && this.isOfCurrentEra(lease)) {
      await this.revokeLease(lease.id);
    }
  }

  private isOfCurrentEra({ era }: GrantedLease): boolean {
    return era >= this.era.current;
  }

  /** Whether the state known shows that the entry is gone, or is another one than was written. */
  private isEntryLost(): boolean {
    const { written, view } = this;
    return (
      written !== null &&
      view.hasApplied(written.revision, written.era) &&
      view.findOwn()?.revision !== written.revision
    );
  }

  private recordLoss(): void {
    this.written = null;
    this.times.recordLoss();
  }

  private async revokeLease(leaseId: string): Promise<void> {
    const revoked = await this.store.revokeLease(leaseId)();
    if (isLeft(revoked)) {
      this.logFailure('failed to revoke the lease; it will expire by itself', revoked.left);
    }
  }

  private async renew(): Promise<boolean> {
    if (this.isEntryLost()) {
      const written = this.written?.revision;
      const found = this.view.findOwn()?.revision;
      const message = 'the registration is lost; registering again';
      this.logger.warn(message, { step: STEP, written, found });
      this.recordLoss();
    }
    const { lease } = this;
    if (lease === null || this.written?.era !== lease.era || !this.isOfCurrentEra(lease)) {
      return this.register();
    }
    const renewedAtMs = this.clock.getMonotonicMs();
    const renewed = await this.store.keepAlive(lease.id)();
    if (isLeft(renewed)) {
      this.logFailure('failed to renew the lease', renewed.left);
      return false;
    }
    if (this.isLeaving) {
      return false;
    }
    if (!this.isOfCurrentEra(lease)) {
      return this.register();
    }
    if (renewed.right > 0) {
      this.lease = { ...lease, renewedAtMs };
      this.times.recordRenewal(renewedAtMs, Math.min(renewed.right, LEASE_TTL_SECONDS));
      return true;
    }
    this.logger.warn('lease expired; registering again', { step: STEP });
    this.lease = null;
    this.recordLoss();
    return this.register();
  }

  private async register(): Promise<boolean> {
    const lease = await this.acquireLease(this.era.current);
    if (lease === null) {
      return false;
    }
    const { id: leaseId, era, renewedAtMs } = lease;
    const written = await this.writer.write(leaseId, era);
    if (isLeft(written)) {
      this.logFailure('failed to write the registration', written.left);
      this.lease = written.left._tag === 'StoreRefused' ? null : this.lease;
      return false;
    }
    if (!this.isOfCurrentEra(lease)) {
      return false;
    }
    if (isNone(written.right)) {
      this.logger.warn('the registration was changed at the same time', { step: STEP });
      return false;
    }
    if (this.isLeaving) {
      await this.revokeLease(leaseId);
      return true;
    }
    if (this.clock.getMonotonicMs() > this.times.getValidUntilMs()) {
      this.recordLoss();
    }
    const { revision, continuedFromMs } = written.right.value;
    this.written = { revision, era };
    this.times.recordRenewal(renewedAtMs, LEASE_TTL_SECONDS);
    this.times.recordRegistration(continuedFromMs);
    this.logger.info('registered', { step: STEP, leaseId, era, revision });
    return true;
  }

  /**
   * Returns a lease that lasts for a call or longer: the one under which an earlier write may still take effect, or a new
   * one; null if there is none to be had.
   */
  private async acquireLease(era: number): Promise<GrantedLease | null> {
    const known = this.lease;
    const renewedAtMs = this.clock.getMonotonicMs();
    const isUsable = known?.era === era && renewedAtMs + MAX_CALL_MS < known.renewedAtMs + LEASE_MS;
    if (known !== null && isUsable) {
      return known;
    }
    const granted = await this.store.grantLease(LEASE_TTL_SECONDS)();
    if (isLeft(granted)) {
      this.logFailure('failed to obtain a lease', granted.left);
      return null;
    }
    if (this.isLeaving) {
      await this.revokeLease(granted.right);
      return null;
    }
    this.lease = { id: granted.right, era, renewedAtMs };
    return this.lease;
  }

  private logFailure(message: string, { detail, peer, _tag: kind }: StoreError): void {
    this.logger.warn(message, { step: STEP, peer, kind, detail });
  }
}
