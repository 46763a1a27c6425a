/**
 * Baseline: an entry VM with an unbounded queue, no limits and no sense of deadlines.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type Clock from '@burdockcove/runtime/Clock';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type RequestOutcome from './RequestOutcome.js';
import type Sender from './Sender.js';
import type SimulatedTarget from './SimulatedTarget.js';

/** Sends in order of arrival wherever a slot is free, whether or not the caller still waits. */
export default class UnboundedSender implements Sender {
  private readonly waiting: (() => void)[] = [];

  private next = 0;

  constructor(
    private readonly clock: Clock,
    private readonly index: number,
    private readonly targets: readonly SimulatedTarget[],
    private readonly ledger: SlotLedger,
  ) {
    ledger.subscribe(() => this.serveFirst());
  }

  /** The caller learns that its deadline ended; the work goes on all the same. */
  sendRequest(_member: string, deadlineAtMs: number): Promise<RequestOutcome> {
    return new Promise((resolve) => {
      const leftMs = deadlineAtMs - this.clock.getMonotonicMs();
      const timer = this.clock.startTimer(leftMs, () => resolve('late'));
      const finish = (): void => {
        timer.cancel();
        resolve('answered');
      };
      this.waiting.push(() => this.run(finish));
      this.serveFirst();
    });
  }

  private serveFirst(): void {
    const hasFree = this.targets.some(
      ({ options }) => this.ledger.countFree(options.target.name) > 0,
    );
    if (hasFree) {
      this.waiting.shift()?.();
    }
  }

  private run(finish: () => void): void {
    const target = this.findFree();
    const permit = this.ledger.takeSlot(target.options.target.name);
    target.exchange(this.index, Infinity).then(
      () => {
        if (isSome(permit)) {
          permit.value.release();
        }
        finish();
      },
      (error: unknown) => {
        throw error;
      },
    );
  }

  /** The next target in turn that has a free slot. */
  private findFree(): SimulatedTarget {
    do {
      this.next = (this.next + 1) % this.targets.length;
    } while (this.ledger.countFree(this.targets[this.next]?.options.target.name ?? '') <= 0);
    return this.targets[this.next] as SimulatedTarget;
  }
}
