/**
 * The attempts of one request that run at the same time.
 *
 * A target that is silent may still be working, so its attempt is never given up for that. If the request may run more
 * than once, another attempt is made beside it, and the first response wins.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Choice from '../Choice.js';
import type AttemptObserver from './AttemptObserver.js';
import type ExchangeEnd from './ExchangeEnd.js';
import RunningAttempt from './RunningAttempt.js';

const MAX_ATTEMPTS_AT_ONCE = 2;

interface RaceDependencies {
  readonly clock: Clock;
  readonly runAttempt: (choice: Choice, observer: AttemptObserver) => Promise<ExchangeEnd>;
  /** Returns another target for an attempt beside a silent one, or null if there is none or none is allowed. */
  readonly takeOther: () => Choice | null;
  /** Called with the end of each attempt. */
  readonly recordEnd: (attempt: RunningAttempt, end: ExchangeEnd) => void;
}

/** The last attempt to end, which no other one superseded. */
interface RaceEnd {
  readonly choice: Choice;
  readonly end: ExchangeEnd;
}

/** Resolves when no attempt is left; at most one of them writes to the caller. */
export default class AttemptRace {
  private readonly running = new Set<RunningAttempt>();

  private readonly ends: Promise<RaceEnd>[] = [];

  private last: RaceEnd | null = null;

  constructor(private readonly dependencies: RaceDependencies) {}

  /** Runs the attempt, and others beside it if it is silent. */
  async run(first: Choice): Promise<RaceEnd> {
    let result = await this.startAttempt(first);
    for (let index = 0; index < this.ends.length; index += 1) {
      result = await (this.ends[index] as Promise<RaceEnd>);
    }
    return this.last ?? result;
  }

  onSilent(): void {
    if (this.running.size < MAX_ATTEMPTS_AT_ONCE) {
      const choice = this.dependencies.takeOther();
      if (choice !== null) {
        this.ends.push(this.startAttempt(choice));
      }
    }
  }

  onResponding(winner: AttemptObserver): void {
    this.running.forEach((attempt) => {
      if (attempt !== winner) {
        attempt.supersede();
      }
    });
  }

  private async startAttempt(choice: Choice): Promise<RaceEnd> {
    const { clock, runAttempt, recordEnd } = this.dependencies;
    const attempt = new RunningAttempt(choice, clock.getMonotonicMs(), this);
    this.running.add(attempt);
    const end = await runAttempt(choice, attempt);
    this.running.delete(attempt);
    recordEnd(attempt, end);
    const result = { choice, end };
    if (!attempt.isSuperseded()) {
      this.last = result;
    }
    return result;
  }
}
