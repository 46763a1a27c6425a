/**
 * The work of one request, and what follows for it at a target.
 */
import computeMissChance from './computeMissChance.js';
import type Forecast from './Forecast.js';
import type Warmth from './Warmth.js';
import type WorkModel from './WorkModel.js';

/** Time left over the expected one at which the response is as good as certain to come in time. */
const AMPLE_TIME_FACTOR = 3;

interface TargetWork {
  readonly workTimeRatio: number;
  readonly workLeftMs: number;
  readonly waitMs: number;
  readonly occupancy: number;
}

/** Times are in milliseconds. Computed once for all targets that are compared for the request. */
export default class RequestWork {
  private readonly warmMs: number;

  private readonly firstVisitMs: number;

  /**
   * `heavinessLog` is what is known of the object; `passedMs` the time since the caller first sent the request, `leftMs`
   * the time until its timeout.
   */
  constructor(
    private readonly model: WorkModel,
    heavinessLog: number,
    private readonly goalMs: number | undefined,
    private readonly passedMs: number,
    private readonly leftMs = Infinity,
    private readonly endChanceFactor = 1,
  ) {
    this.warmMs = Math.exp(model.getWarmLog() + heavinessLog);
    this.firstVisitMs = Math.exp(model.getFirstVisitLog() + heavinessLog);
  }

  buildForecast(warmth: Warmth, target: TargetWork, roundTripMs: number): Forecast {
    const { workTimeRatio, workLeftMs, occupancy } = target;
    const warmChance = this.model.getWarmShare(warmth);
    const workMs =
      workTimeRatio * (warmChance * this.warmMs + (1 - warmChance) * this.firstVisitMs);
    return {
      workMs,
      workLeftMs,
      workTimeRatio,
      warmChance: warmth === 'none' ? 1 : warmChance,
      missChance: this.computeMissChance(warmChance, target, roundTripMs),
      endChance: this.computeEndChance(warmChance, target, roundTripMs),
      endChanceFactor: this.endChanceFactor,
      occupancy,
      goalMs: this.goalMs ?? this.firstVisitMs,
    };
  }

  private computeMissChance(warmChance: number, target: TargetWork, roundTripMs: number): number {
    if (this.goalMs === undefined) {
      return 0;
    }
    const leftMs = this.goalMs - this.passedMs - roundTripMs;
    return this.computeLateChance(warmChance, target, leftMs);
  }

  private computeEndChance(warmChance: number, target: TargetWork, roundTripMs: number): number {
    const longestMs = target.waitMs + this.firstVisitMs * target.workTimeRatio;
    const leftMs = this.leftMs - roundTripMs;
    return longestMs * AMPLE_TIME_FACTOR <= leftMs || !this.model.isSettled()
      ? 1
      : 1 - this.computeLateChance(warmChance, target, leftMs);
  }

  /** Returns the chance that the response comes later than in `leftMs`. */
  private computeLateChance(
    warmChance: number,
    { workTimeRatio, waitMs }: TargetWork,
    leftMs: number,
  ): number {
    const compute = (usualMs: number, isWarm: boolean): number =>
      computeMissChance(
        { workMs: usualMs * workTimeRatio, spread: this.model.getSpread(isWarm), waitMs },
        leftMs,
      );
    return (
      warmChance * compute(this.warmMs, true) + (1 - warmChance) * compute(this.firstVisitMs, false)
    );
  }
}
