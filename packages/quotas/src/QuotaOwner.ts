/**
 * Grants portions of the parts of quotas that this VM owns.
 *
 * The owner of a part is the member that rendezvous hashing ranks first. Two VMs that both believe to own a part must
 * not both grant. A VM grants only while its lease is surely valid, so that a successor, which appears after the lease
 * has ended, finds it silent; while its knowledge of the membership is recent; and after it has been registered for so
 * long that every VM that granted before either knows of it or has stopped. A VM that ranked first until a new member
 * appeared goes on for most of that time (`OwnedPart`).
 */
import MAX_KNOWLEDGE_AGE_MS from '@burdockcove/fleet/MAX_KNOWLEDGE_AGE_MS';
import type MemberTable from '@burdockcove/fleet/MemberTable';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import computePortionLifetimeMs from './computePortionLifetimeMs.js';
import getPartKey from './getPartKey.js';
import LeaseFence from './LeaseFence.js';
import type OwnershipEvidence from './OwnershipEvidence.js';
import OwnedPart from './OwnedPart.js';
import PartWalk from './PartWalk.js';
import type PortionAnswer from './PortionAnswer.js';
import type QuotaCounts from './QuotaCounts.js';
import type QuotaRules from './QuotaRules.js';
import type QuotaTable from './QuotaTable.js';
import type RequestedPortion from './RequestedPortion.js';
import TokenBucket from './TokenBucket.js';

const STEP = 'own parts of quotas';
const NOT_OWNER: PortionAnswer = { _tag: 'NotOwner' };

interface QuotaOwnerDependencies {
  readonly members: MemberTable;
  readonly evidence: OwnershipEvidence;
  readonly table: QuotaTable;
  readonly rules: QuotaRules;
  readonly counts: QuotaCounts;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A bucket is created empty when this VM begins to own its part, and discarded when it stops. */
export default class QuotaOwner {
  private readonly owned = new Map<string, OwnedPart>();

  private readonly fence: LeaseFence;

  private walk = new PartWalk();

  private readonly joiningMs: number;

  constructor(private readonly dependencies: QuotaOwnerDependencies) {
    this.fence = new LeaseFence(dependencies.evidence, dependencies.clock);
    this.joiningMs = MAX_KNOWLEDGE_AGE_MS + computePortionLifetimeMs(dependencies.rules);
  }

  /** Returns one answer for each portion, in order. */
  grantPortions(portions: readonly RequestedPortion[]): readonly PortionAnswer[] {
    const mayGrant = this.mayGrant();
    if (!mayGrant) {
      this.releaseAll();
    }
    return portions.map((portion) => (mayGrant ? this.grantPortion(portion) : NOT_OWNER));
  }

  /** Whether this VM is registered, so that others may take it for an owner. */
  isRegistered(): boolean {
    return this.dependencies.evidence.getRegisteredSinceMs() < Infinity;
  }

  countOwned(): number {
    return this.owned.size;
  }

  /** Discards the buckets of parts that this VM must not serve any more; called at each change of the membership. */
  releaseLost(): void {
    [...this.owned]
      .filter(([, part]) => !this.canContinue(part))
      .forEach(([key, part]) => this.release(key, part));
  }

  /** Begins and stops to own parts, so that their buckets fill before the first portion is asked for. */
  updateOwned(): void {
    if (!this.mayGrant()) {
      this.releaseAll();
      this.walk = new PartWalk();
      return;
    }
    this.releaseLost();
    this.recordFirst();
    const { members, table, clock } = this.dependencies;
    const nowMs = clock.getMonotonicMs();
    [...this.owned]
      .filter(([, { customer, part }]) => part >= (table.getQuota(customer, nowMs)?.parts ?? 0))
      .forEach(([key, part]) => this.release(key, part));
    const version = members.countChanges() + table.countChanges();
    this.walk
      .takeStep(version, table.listCustomers(), members.countMembers())
      .forEach((customer) => {
        const parts = table.getQuota(customer, nowMs)?.parts ?? 0;
        Array.from({ length: parts }, (_, part) => this.findOwned(customer, part));
      });
  }

  private grantPortion({ customer, part, wanted }: RequestedPortion): PortionAnswer {
    const { table, clock, counts } = this.dependencies;
    const nowMs = clock.getMonotonicMs();
    const quota = table.getQuota(customer, nowMs);
    const owned =
      quota !== undefined && part < quota.parts ? this.findOwned(customer, part) : undefined;
    if (quota === undefined || owned === undefined) {
      return NOT_OWNER;
    }
    const { bucket } = owned;
    const { ratePerS, capacity } = part === 0 ? quota.first : quota.others;
    bucket.setLimits(ratePerS, capacity, nowMs);
    const count = bucket.take(wanted, nowMs);
    counts.grantedAsOwner += count;
    const waitMs = count < wanted ? bucket.computeWaitMs() : 0;
    return { _tag: 'Granted', count, validMs: quota.lifetimeMs, waitMs };
  }

  /** Returns the part if this VM owns it, or may begin to. */
  private findOwned(customer: string, part: number): OwnedPart | undefined {
    // Customers share the name by which the owner of a part is chosen, but not the bucket.
    const key = `${part} ${customer}`;
    const known = this.owned.get(key);
    if (known !== undefined && this.canContinue(known)) {
      return known;
    }
    if (known !== undefined) {
      this.release(key, known);
    }
    const { members } = this.dependencies;
    return this.isFirst(customer, part) && members.isSettledAfterReturn()
      ? this.beginOwning(key, customer, part)
      : undefined;
  }

  private beginOwning(key: string, customer: string, part: number): OwnedPart {
    const { clock, logger, table } = this.dependencies;
    const nowMs = clock.getMonotonicMs();
    const bucket = new TokenBucket(nowMs);
    const quota = table.getQuota(customer, nowMs);
    const { ratePerS = 0, capacity = 0 } = (part === 0 ? quota?.first : quota?.others) ?? {};
    bucket.setLimits(ratePerS, capacity, nowMs);
    const owned = new OwnedPart(customer, part, bucket);
    this.owned.set(key, owned);
    logger.info('began to own a part of a quota', { step: STEP, customer, part });
    return owned;
  }

  /** Records, for the parts for which this VM ranks first, the time until which it knows all changes. */
  private recordFirst(): void {
    const { clock, evidence } = this.dependencies;
    const verifiedAtMs = clock.getMonotonicMs() - evidence.getVerifiedAgeMs();
    [...this.owned]
      .filter(([, { customer, part }]) => this.isFirst(customer, part))
      .forEach(([, part]) => part.recordFirst(verifiedAtMs));
  }

  private canContinue(owned: OwnedPart): boolean {
    const { clock, members } = this.dependencies;
    const nowMs = clock.getMonotonicMs();
    const isFirst = this.isFirst(owned.customer, owned.part);
    return owned.canContinue(isFirst, nowMs, members.getSettledAtMs(), this.joiningMs);
  }

  private isFirst(customer: string, part: number): boolean {
    const { members } = this.dependencies;
    return members.rankFirst(getPartKey(customer, part))[0]?.name === members.self.name;
  }

  private mayGrant(): boolean {
    const { evidence, clock } = this.dependencies;
    const registeredMs = clock.getMonotonicMs() - evidence.getRegisteredSinceMs();
    return (
      this.fence.holds() &&
      evidence.getVerifiedAgeMs() <= MAX_KNOWLEDGE_AGE_MS &&
      registeredMs > this.joiningMs
    );
  }

  private releaseAll(): void {
    this.owned.forEach((part, key) => this.release(key, part));
  }

  private release(key: string, { customer, part }: OwnedPart): void {
    this.owned.delete(key);
    this.dependencies.logger.info('stopped owning a part of a quota', {
      step: STEP,
      customer,
      part,
    });
  }
}
