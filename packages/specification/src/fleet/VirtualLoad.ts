/**
 * The requests that reach one virtual entry VM.
 */
import type SlotPermit from '@burdockcove/types/SlotPermit';
import type Random from '@burdockcove/runtime/Random';
import type FleetOptions from './FleetOptions.js';
import type LoadCounts from './LoadCounts.js';
import type SlotTruth from './SlotTruth.js';
import type VirtualNode from './VirtualNode.js';
import type VirtualTime from './VirtualTime.js';

const MS_PER_SECOND = 1_000;
/** How often a rate of zero is looked at again, in milliseconds. */
const IDLE_RECHECK_MS = 250;

interface WaitingRequest {
  readonly deadlineAtMs: number;
}

/** Arrivals are random and independent; a request that gets no slot waits until its deadline. */
export default class VirtualLoad {
  private waiting: readonly WaitingRequest[] = [];

  private readonly targets: readonly string[];

  private readonly deadlineMs: number;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    private readonly options: FleetOptions,
    private readonly node: VirtualNode,
    private readonly truth: SlotTruth,
    private readonly counts: LoadCounts,
  ) {
    this.targets = options.listTargets(node.vm);
    this.deadlineMs = Math.max(...options.configuration.services.map((each) => each.deadlineMs));
  }

  start(): void {
    this.node.ledger.subscribe(() => this.serveWaiting());
    this.scheduleNext();
  }

  private scheduleNext(): void {
    const rate = this.options.getRate(this.node.vm, this.time.getNowMs());
    const delayMs =
      rate > 0 ? (-Math.log(1 - this.random.nextFloat()) * MS_PER_SECOND) / rate : IDLE_RECHECK_MS;
    this.time.schedule(delayMs, () => {
      if (this.node.process.isEnded()) {
        return;
      }
      if (rate > 0) {
        this.counts.addOffered(this.time.getNowMs());
        this.node.process.deliver(() => this.takeRequest());
      }
      this.scheduleNext();
    });
  }

  private takeRequest(): void {
    const deadlineAtMs = this.node.process.getMonotonicMs() + this.deadlineMs;
    if (this.waiting.length < this.options.queueLimit) {
      this.waiting = [...this.waiting, { deadlineAtMs }];
      this.serveWaiting();
    }
  }

  private serveWaiting(): void {
    const before = this.waiting.length;
    const nowMs = this.node.process.getMonotonicMs();
    this.waiting = this.waiting.filter((request) => request.deadlineAtMs > nowMs);
    while (this.waiting.length > 0 && this.startRequest(this.waiting[0]?.deadlineAtMs ?? 0)) {
      this.waiting = this.waiting.slice(1);
    }
    if (before > 0) {
      this.node.ledger.requestSlots(this.targets, this.waiting.length);
    }
  }

  private startRequest(deadlineAtMs: number): boolean {
    const target = this.chooseTarget();
    const permit = target === undefined ? undefined : this.node.ledger.takeSlot(target);
    if (target === undefined || permit?._tag !== 'Some') {
      return false;
    }
    this.truth.startRequest(target);
    this.runRequest(target, permit.value, deadlineAtMs - this.node.process.getMonotonicMs());
    return true;
  }

  /** The target with most free slots among those preferred most. */
  private chooseTarget(): string | undefined {
    const free = this.targets.map((name) => ({ name, slots: this.node.ledger.countFree(name) }));
    const [best] = free.filter(({ slots }) => slots > 0).sort((a, b) => b.slots - a.slots);
    return best?.name;
  }

  private runRequest(target: string, permit: SlotPermit, leftMs: number): void {
    const isUnclean = this.random.nextFloat() < this.options.uncleanShare;
    const drawnMs = -Math.log(1 - this.random.nextFloat()) * this.options.serviceMs;
    const runsMs = isUnclean ? leftMs : Math.min(leftMs, drawnMs);
    this.time.schedule(runsMs, () => {
      this.truth.endRequest(target);
      this.counts.addServed(this.time.getNowMs());
      if (!isUnclean) {
        this.node.process.deliver(() => permit.release());
      }
    });
    if (isUnclean) {
      const holdMs = leftMs + this.options.timing.marginMs;
      this.node.process.startTimer(holdMs, () => permit.release());
    }
  }
}
