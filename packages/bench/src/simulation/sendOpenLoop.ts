/**
 * Open-loop load: requests come when they are due, whatever became of earlier ones.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import type RequestOutcome from './RequestOutcome.js';
import type Sender from './Sender.js';
import sleep from './sleep.js';

interface OpenLoopOptions {
  readonly fromMs: number;
  readonly untilMs: number;
  readonly requestsPerSecond: number;
  readonly deadlineMs: number;
  readonly members: number;
  onOutcome(outcome: RequestOutcome, dueMs: number, latencyMs: number): void;
}

const MS_PER_SECOND = 1_000;

/** Draws exponential gaps and an entry VM for each request; resolves when the last was sent. */
export default async function sendOpenLoop(
  clock: Clock,
  random: Random,
  senders: readonly Sender[],
  options: OpenLoopOptions,
): Promise<void> {
  await sleep(clock, options.fromMs - clock.getMonotonicMs());
  while (clock.getMonotonicMs() < options.untilMs) {
    const dueMs = clock.getMonotonicMs();
    const sender = senders[random.nextInt(senders.length)] as Sender;
    const member = `member-${String(random.nextInt(options.members))}`;
    const finish = (outcome: RequestOutcome): void =>
      options.onOutcome(outcome, dueMs, clock.getMonotonicMs() - dueMs);
    sender.sendRequest(member, dueMs + options.deadlineMs).then(finish, (error: unknown) => {
      throw error;
    });
    const gapMs = (-Math.log(1 - random.nextFloat()) * MS_PER_SECOND) / options.requestsPerSecond;
    await sleep(clock, gapMs);
  }
}
