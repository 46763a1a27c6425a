/**
 * Failure domains that get no new requests because the operators have evacuated them.
 *
 * An evacuation that a snapshot of the store lacks may have been lost rather than ended. It is kept until its key is
 * written again or the time for that has passed.
 */
import type Clock from '@burdockcove/runtime/Clock';
import CatchUp from './CatchUp.js';

/** Not bounded in itself: there are as many as there are failure domains. */
export default class EvacuatedDomains {
  private readonly domains = new Set<string>();

  /** Evacuated domains whose keys the store may have lost. */
  private readonly lost = new Set<string>();

  private readonly catchUp: CatchUp;

  constructor(clock: Clock) {
    this.catchUp = new CatchUp(clock);
  }

  has(domain: string): boolean {
    return this.domains.has(domain);
  }

  list(): readonly string[] {
    return [...this.domains];
  }

  /** Sets what the store says of the domain; returns whether that is news. */
  set(domain: string, isEvacuated: boolean): boolean {
    this.lost.delete(domain);
    const isNews = isEvacuated !== this.domains.has(domain);
    if (isEvacuated) {
      this.domains.add(domain);
    } else {
      this.domains.delete(domain);
    }
    return isNews;
  }

  /**
   * Returns the evacuated domains that a list of the store shows to be open again. On a return from a snapshot there are
   * none: those that are not in the list are kept for now.
   */
  listEnded(listed: ReadonlySet<string>, isReturn: boolean): readonly string[] {
    const missing = this.list().filter((domain) => !listed.has(domain));
    if (isReturn) {
      this.catchUp.start();
      missing.forEach((domain) => this.lost.add(domain));
    }
    return missing.filter((domain) => !this.lost.has(domain));
  }

  /** Returns the domains whose keys were lost and have not been written again in time, once. */
  takeLapsed(): readonly string[] {
    return this.catchUp.finish() ? [...this.lost] : [];
  }
}
