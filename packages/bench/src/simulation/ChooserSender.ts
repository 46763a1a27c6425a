/**
 * An entry VM that uses burdockcove's chooser and retry budget.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import type RetryBudget from '@burdockcove/forward/RetryBudget';
import type TargetChooser from '@burdockcove/forward/TargetChooser';
import type RegionCandidates from '@burdockcove/types/RegionCandidates';
import type Service from '@burdockcove/types/Service';
import type RequestOutcome from './RequestOutcome.js';
import type Sender from './Sender.js';
import type SimulatedTarget from './SimulatedTarget.js';

const MAX_ATTEMPTS = 3;

/** Retries a shed request elsewhere, within the budget. */
export default class ChooserSender implements Sender {
  constructor(
    private readonly index: number,
    private readonly service: Service,
    private readonly regions: readonly RegionCandidates[],
    private readonly targets: ReadonlyMap<string, SimulatedTarget>,
    private readonly chooser: TargetChooser,
    private readonly budget: RetryBudget,
  ) {}

  async sendRequest(member: string, deadlineAtMs: number): Promise<RequestOutcome> {
    const { service, regions } = this;
    const tried: string[] = [];
    const { signal } = new AbortController();
    const plan = {
      selector: '',
      clientRegion: '',
      routeIndex: 0,
      targetService: service.name,
      regions,
    };
    this.budget.recordFirstAttempt(service, service.name);
    for (;;) {
      const choice = await this.chooser.chooseTarget({
        service,
        semantics: 'repeatable',
        plan,
        member,
        firstRequestedAtMs: 0,
        deadlineAtMs,
        tried,
        signal,
      });
      if (isLeft(choice)) {
        return 'refused';
      }
      const { target, permit } = choice.right;
      const simulated = this.targets.get(target.name) as SimulatedTarget;
      const result = await simulated.exchange(this.index, deadlineAtMs);
      permit.release();
      choice.right.reportResult(result);
      if (result.ended !== 'shed') {
        return result.ended === 'answered' ? 'answered' : 'late';
      }
      tried.push(target.name);
      if (tried.length >= MAX_ATTEMPTS || !this.budget.tryAcquireRetry(service, service.name)) {
        return 'shed';
      }
    }
  }
}
