/**
 * One attempt of a request as its race sees it.
 */
import type Choice from '../Choice.js';
import type AttemptObserver from './AttemptObserver.js';

/** What a race is told of its attempts. */
interface Race {
  onSilent(): void;
  onResponding(attempt: AttemptObserver): void;
}

/** Created when the attempt starts. */
export default class RunningAttempt implements AttemptObserver {
  private cancel: (() => void) | null = null;

  private superseded = false;

  /** `startedAtMs` is monotonic, in milliseconds. */
  constructor(
    readonly choice: Choice,
    readonly startedAtMs: number,
    private readonly race: Race,
  ) {}

  isSuperseded(): boolean {
    return this.superseded;
  }

  setCancel(cancel: (() => void) | null): void {
    this.cancel = cancel;
  }

  onSilent(): void {
    this.race.onSilent();
  }

  onResponding(): void {
    this.race.onResponding(this);
  }

  /** Ends the attempt, because another one has begun the response to the caller. */
  supersede(): void {
    this.superseded = true;
    this.cancel?.();
  }
}
