/**
 * Queue of the requests for one service at one entry VM, with fair sharing between Members.
 */
import MemberQueue from './MemberQueue.js';
import type Waiter from './Waiter.js';

/** Once a request has waited for this share of the time to its deadline, the newest requests are served first. */
const NEWEST_FIRST_WAIT_SHARE = 0.5;

/**
 * Serves the Member with the fewest requests in flight first, since slots are the scarce resource; Members with equally
 * many take turns. Serves the oldest request of a Member first, or the newest while requests wait too long: under
 * sustained overload, the oldest would occupy a slot for a response that comes too late.
 */
export default class FairQueue {
  private readonly members = new Map<string, MemberQueue>();

  private readonly inFlight = new Map<string, number>();

  private length = 0;

  private servedSequence = 0;

  private totalInFlight = 0;

  add(waiter: Waiter): void {
    const { member } = waiter.request;
    const queue = this.members.get(member) ?? new MemberQueue();
    this.members.set(member, queue);
    queue.add(waiter);
    this.length += 1;
  }

  /** Returns false where the waiter is not in the queue. */
  remove(waiter: Waiter): boolean {
    const { member } = waiter.request;
    const queue = this.members.get(member);
    if (queue === undefined || !queue.remove(waiter)) {
      return false;
    }
    this.length -= 1;
    this.servedSequence += 1;
    queue.lastServedSequence = this.servedSequence;
    if (queue.getLength() === 0) {
      this.members.delete(member);
    }
    return true;
  }

  /** Returns the next waiter to serve among those whose group is not blocked. */
  findNext(blocked: ReadonlySet<string>, nowMs: number): Waiter | undefined {
    const newestFirst = this.isNewestFirst(nowMs);
    let best: { waiter: Waiter; inFlight: number; lastServedSequence: number } | undefined;
    for (const [member, queue] of this.members) {
      const inFlight = this.countInFlight(member);
      const { lastServedSequence } = queue;
      const isBetter =
        best === undefined ||
        inFlight < best.inFlight ||
        (inFlight === best.inFlight && lastServedSequence < best.lastServedSequence);
      const waiter = isBetter ? queue.findNext(blocked, newestFirst) : undefined;
      if (waiter !== undefined) {
        best = { waiter, inFlight, lastServedSequence };
      }
    }
    return best?.waiter;
  }

  /** Returns the newest waiter of the Member with the most requests, if that is at least two more than `member` has. */
  findEvictionCandidate(member: string): Waiter | undefined {
    let most = this.countRequests(member) + 1;
    let candidate: Waiter | undefined;
    for (const [name, queue] of this.members) {
      const count = this.countRequests(name);
      if (name !== member && count > most) {
        most = count;
        candidate = queue.getNewest();
      }
    }
    return candidate;
  }

  /** Returns the waiter that was enqueued last, of all Members. */
  findNewest(): Waiter | undefined {
    let newest: Waiter | undefined;
    for (const queue of this.members.values()) {
      const candidate = queue.getNewest();
      if (candidate !== undefined && candidate.enqueuedAtMs > (newest?.enqueuedAtMs ?? -Infinity)) {
        newest = candidate;
      }
    }
    return newest;
  }

  adjustInFlight(member: string, change: 1 | -1): void {
    const count = this.countInFlight(member) + change;
    this.totalInFlight += change;
    if (count === 0) {
      this.inFlight.delete(member);
    } else {
      this.inFlight.set(member, count);
    }
  }

  /** Returns the number of waiting requests. */
  getLength(): number {
    return this.length;
  }

  /** Returns the number of requests that wait or are in flight. */
  getRequestCount(): number {
    return this.length + this.totalInFlight;
  }

  /** Whether Members other than the given one have requests waiting or in flight. */
  hasOtherMembers(member: string): boolean {
    return this.getRequestCount() > this.countRequests(member);
  }

  /** Whether a request has waited for so long that the newest requests are served first. */
  isNewestFirst(nowMs: number): boolean {
    for (const queue of this.members.values()) {
      const oldest = queue.getOldest();
      if (
        oldest !== undefined &&
        FairQueue.computeWaitShare(oldest, nowMs) > NEWEST_FIRST_WAIT_SHARE
      ) {
        return true;
      }
    }
    return false;
  }

  private static computeWaitShare({ enqueuedAtMs, request }: Waiter, nowMs: number): number {
    return (nowMs - enqueuedAtMs) / Math.max(1, request.deadlineAtMs - enqueuedAtMs);
  }

  private countInFlight(member: string): number {
    return this.inFlight.get(member) ?? 0;
  }

  private countRequests(member: string): number {
    return this.countInFlight(member) + (this.members.get(member)?.getLength() ?? 0);
  }
}
