/**
 * The queue of one service at one entry VM, shared fairly between Members.
 */
import MemberQueue from './MemberQueue.js';
import type Waiter from './Waiter.js';

/** A request that has waited for this share of its time makes the newest ones go first. */
const LATE_SHARE = 0.5;

/**
 * Slots are the scarce thing, so the Member with the fewest requests in flight is served first, and equal ones take
 * turns. Within a Member the oldest request goes first, or the newest while the queue is late: under lasting overload
 * the oldest would use a slot for an answer that comes too late.
 */
export default class FairQueue {
  private readonly members = new Map<string, MemberQueue>();

  private readonly inFlight = new Map<string, number>();

  private length = 0;

  private served = 0;

  private totalInFlight = 0;

  add(waiter: Waiter): void {
    const { member } = waiter.request;
    const queue = this.members.get(member) ?? new MemberQueue();
    this.members.set(member, queue);
    queue.add(waiter);
    this.length += 1;
  }

  remove(waiter: Waiter): boolean {
    const { member } = waiter.request;
    const queue = this.members.get(member);
    if (queue === undefined || !queue.remove(waiter)) {
      return false;
    }
    this.length -= 1;
    this.served += 1;
    queue.servedAt = this.served;
    if (queue.getLength() === 0) {
      this.members.delete(member);
    }
    return true;
  }

  /** The waiter to serve next among those whose group is not blocked. */
  findNext(blocked: ReadonlySet<string>, nowMs: number): Waiter | undefined {
    const newestFirst = this.isLate(nowMs);
    let best: { waiter: Waiter; inFlight: number; servedAt: number } | undefined;
    for (const [member, queue] of this.members) {
      const inFlight = this.countInFlight(member);
      const { servedAt } = queue;
      const isBetter =
        best === undefined ||
        inFlight < best.inFlight ||
        (inFlight === best.inFlight && servedAt < best.servedAt);
      const waiter = isBetter ? queue.findNext(blocked, newestFirst) : undefined;
      if (waiter !== undefined) {
        best = { waiter, inFlight, servedAt };
      }
    }
    return best?.waiter;
  }

  /** The newest waiter of the Member with the most requests, if that Member has more than the one named. */
  findVictim(member: string): Waiter | undefined {
    let most = this.countRequests(member) + 1;
    let victim: Waiter | undefined;
    for (const [name, queue] of this.members) {
      const count = this.countRequests(name);
      if (name !== member && count > most) {
        most = count;
        victim = queue.getNewest();
      }
    }
    return victim;
  }

  /** The waiter that came last. */
  findNewest(): Waiter | undefined {
    let newest: Waiter | undefined;
    for (const queue of this.members.values()) {
      const candidate = queue.getNewest();
      if (candidate !== undefined && candidate.sinceMs > (newest?.sinceMs ?? -Infinity)) {
        newest = candidate;
      }
    }
    return newest;
  }

  addInFlight(member: string, change: 1 | -1): void {
    const count = this.countInFlight(member) + change;
    this.totalInFlight += change;
    if (count === 0) {
      this.inFlight.delete(member);
    } else {
      this.inFlight.set(member, count);
    }
  }

  /** Requests that wait. */
  getLength(): number {
    return this.length;
  }

  /** Requests that wait or are in flight. */
  getSize(): number {
    return this.length + this.totalInFlight;
  }

  /** Whether Members other than this one have requests here. */
  hasOthers(member: string): boolean {
    return this.getSize() > this.countRequests(member);
  }

  /** True while a request has waited for so long that the newest are served first. */
  isLate(nowMs: number): boolean {
    for (const queue of this.members.values()) {
      const oldest = queue.getOldest();
      if (oldest !== undefined && FairQueue.computeWaitShare(oldest, nowMs) > LATE_SHARE) {
        return true;
      }
    }
    return false;
  }

  private static computeWaitShare({ sinceMs, request }: Waiter, nowMs: number): number {
    return (nowMs - sinceMs) / Math.max(1, request.deadlineAtMs - sinceMs);
  }

  private countInFlight(member: string): number {
    return this.inFlight.get(member) ?? 0;
  }

  private countRequests(member: string): number {
    return this.countInFlight(member) + (this.members.get(member)?.getLength() ?? 0);
  }
}
