/**
 * An entry VM without burdockcove: picks a target and sends, whatever the others do.
 */
import type RetryBudget from '@burdockcove/forward/RetryBudget';
import type Service from '@burdockcove/types/Service';
import type PickPolicy from './PickPolicy.js';
import type RequestOutcome from './RequestOutcome.js';
import type Sender from './Sender.js';
import type SimulatedTarget from './SimulatedTarget.js';

/** Retries a shed request as the budget allows, as the way it is compared with does. */
export default class BaselineSender implements Sender {
  private readonly inFlight: number[];

  constructor(
    private readonly index: number,
    private readonly service: Service,
    private readonly targets: readonly SimulatedTarget[],
    private readonly policy: PickPolicy,
    private readonly budget: RetryBudget,
    private readonly maxAttempts: number,
  ) {
    this.inFlight = targets.map(() => 0);
  }

  async sendRequest(_member: string, deadlineAtMs: number): Promise<RequestOutcome> {
    this.budget.recordFirstAttempt(this.service, this.service.name);
    for (let attempt = 1; ; attempt += 1) {
      const ended = await this.sendOnce(deadlineAtMs);
      if (ended !== 'shed') {
        return ended === 'answered' ? 'answered' : 'late';
      }
      if (
        attempt >= this.maxAttempts ||
        !this.budget.tryAcquireRetry(this.service, this.service.name)
      ) {
        return 'shed';
      }
    }
  }

  private async sendOnce(deadlineAtMs: number): Promise<string> {
    const picked = this.policy.pickIndex(this.inFlight);
    const target = this.targets[picked] as SimulatedTarget;
    this.changeInFlight(picked, 1);
    const { ended } = await target.exchange(this.index, deadlineAtMs);
    this.changeInFlight(picked, -1);
    return ended;
  }

  private changeInFlight(picked: number, change: 1 | -1): void {
    this.inFlight[picked] = (this.inFlight[picked] ?? 0) + change;
  }
}
