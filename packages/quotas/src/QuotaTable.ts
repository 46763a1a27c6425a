/**
 * The quotas in force, split into parts.
 *
 * VMs apply a configuration at different times. While owners disagree about the number of a quota's parts, the sum of
 * what the old and the new parts grant may exceed both quotas. After such a change an owner therefore uses the lower of
 * both rates, and no part that is new, until all others have applied the change or have stopped granting.
 */
import MAX_KNOWLEDGE_AGE_MS from '@burdockcove/fleet/MAX_KNOWLEDGE_AGE_MS';
import type Customer from '@burdockcove/types/Customer';
import type PartQuota from './PartQuota.js';
import type QuotaRules from './QuotaRules.js';
import splitQuota from './splitQuota.js';

type PartLimits = PartQuota['first'];

interface TableEntry {
  readonly quota: PartQuota;
  /** The limits of before a change of the number of parts, and the monotonic time until which they count. */
  readonly former?: { readonly quota: PartQuota; readonly untilMs: number } | undefined;
}

function mixLimits(limits: PartLimits, former: PartLimits): PartLimits {
  return {
    ratePerS: Math.min(limits.ratePerS, former.ratePerS),
    capacity: Math.min(limits.capacity, former.capacity),
  };
}

/** Combines two quotas so that no mix of owners that use either exceeds both. */
function mixQuotas(quota: PartQuota, former: PartQuota): PartQuota {
  return {
    parts: Math.min(quota.parts, former.parts),
    first: mixLimits(quota.first, former.first),
    others: mixLimits(quota.others, former.others),
    lifetimeMs: Math.min(quota.lifetimeMs, former.lifetimeMs),
  };
}

/** Times are monotonic, in milliseconds. */
export default class QuotaTable {
  private entries = new Map<string, TableEntry>();

  private changes = 0;

  constructor(private readonly rules: QuotaRules) {}

  /** Replaces all quotas; customers without one are left out. */
  apply(customers: readonly Customer[], nowMs: number): void {
    const entries = customers.flatMap(({ name, quota }) =>
      quota === undefined
        ? []
        : [[name, this.buildEntry(name, splitQuota(quota, this.rules), nowMs)] as const],
    );
    this.entries = new Map(entries);
    this.changes += 1;
  }

  /** Returns a number that rises with each change of the quotas. */
  countChanges(): number {
    return this.changes;
  }

  listCustomers(): readonly string[] {
    return [...this.entries.keys()];
  }

  /** Returns the limits that an owner uses. */
  getQuota(customer: string, nowMs: number): PartQuota | undefined {
    const entry = this.entries.get(customer);
    if (entry?.former === undefined || nowMs >= entry.former.untilMs) {
      return entry?.quota;
    }
    return mixQuotas(entry.quota, entry.former.quota);
  }

  private buildEntry(name: string, quota: PartQuota, nowMs: number): TableEntry {
    const known = this.entries.get(name);
    if (known === undefined) {
      return { quota };
    }
    if (known.quota.parts === quota.parts) {
      return { quota, former: known.former };
    }
    const former = this.getQuota(name, nowMs) ?? quota;
    return { quota, former: { quota: former, untilMs: nowMs + MAX_KNOWLEDGE_AGE_MS } };
  }
}
