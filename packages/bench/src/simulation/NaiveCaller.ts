/**
 * Callers that try again at once whenever they got no answer.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type RequestOutcome from './RequestOutcome.js';
import type Sender from './Sender.js';

/** Each attempt has the whole deadline; the last attempt's outcome counts. */
export default class NaiveCaller implements Sender {
  constructor(
    private readonly clock: Clock,
    private readonly sender: Sender,
    private readonly attempts: number,
    private readonly onAttempt: (outcome: RequestOutcome, latencyMs: number) => void,
  ) {}

  async sendRequest(member: string, deadlineAtMs: number): Promise<RequestOutcome> {
    const deadlineMs = deadlineAtMs - this.clock.getMonotonicMs();
    let outcome: RequestOutcome = 'late';
    for (let attempt = 0; attempt < this.attempts && outcome !== 'answered'; attempt += 1) {
      const startMs = this.clock.getMonotonicMs();
      outcome = await this.sender.sendRequest(member, startMs + deadlineMs);
      this.onAttempt(outcome, this.clock.getMonotonicMs() - startMs);
    }
    return outcome;
  }
}
