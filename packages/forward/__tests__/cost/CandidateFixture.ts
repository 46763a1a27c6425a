/**
 * Candidates with forecasts of a settled model, for tests of their order.
 */
import type RankedTarget from '../../src/affinity/RankedTarget.js';
import computeQueueWaitMs from '../../src/cost/computeQueueWaitMs.js';
import LogAverage from '../../src/cost/LogAverage.js';
import RequestWork from '../../src/cost/RequestWork.js';
import type Warmth from '../../src/cost/Warmth.js';
import WorkModel from '../../src/cost/WorkModel.js';
import buildKnownTarget from './buildKnownTarget.js';

const SLOTS = 9;
const SAMPLES = 100;
const WARM_RATIO = 0.3;

interface CandidateState {
  readonly rank?: number;
  readonly warmth?: Warmth;
  /** Requests of others at the target, each of the mean work. */
  readonly inFlight?: number;
  readonly workTimeRatio?: number;
  readonly roundTripMs?: number;
}

interface RequestState {
  /** Work relative to the usual work of the kind. */
  readonly heaviness?: number;
  /** Time since the caller first sent the request, in milliseconds. */
  readonly passedMs?: number;
}

/** A kind of request: nearly all objects are warm at their preferred target. Times are in milliseconds. */
export default class CandidateFixture {
  private readonly model: WorkModel;

  constructor(
    private readonly firstVisitMs: number,
    private readonly goalMs: number,
  ) {
    const ratio = new LogAverage();
    ratio.record(Math.log(WARM_RATIO), 1);
    this.model = new WorkModel(firstVisitMs, ratio);
    for (let index = 0; index < SAMPLES; index += 1) {
      this.model.record(firstVisitMs, 'unlikely', 0, 1);
      this.model.record(firstVisitMs, 'none', 0, 1);
      this.model.record(firstVisitMs * WARM_RATIO, 'known', 0, 1);
      this.model.record(firstVisitMs * WARM_RATIO, 'preferred', 0, 1);
    }
  }

  build(name: string, state: CandidateState, request: RequestState = {}): RankedTarget {
    const { rank = 0, warmth = 'preferred', inFlight = 0 } = state;
    const { workTimeRatio = 1, roundTripMs = 2 } = state;
    const { heaviness = 1, passedMs = 0 } = request;
    const workLeftMs = inFlight * this.firstVisitMs * WARM_RATIO * workTimeRatio;
    const waitMs = computeQueueWaitMs(workLeftMs, inFlight, SLOTS);
    const work = new RequestWork(this.model, Math.log(heaviness), this.goalMs, passedMs);
    const load = { workTimeRatio, workLeftMs, waitMs, occupancy: inFlight / SLOTS };
    const forecast = work.buildForecast(warmth, load, roundTripMs);
    return {
      known: buildKnownTarget(name),
      rank,
      objectKey: warmth === 'none' ? undefined : 'object',
      isWarm: warmth === 'known',
      costMs: roundTripMs + waitMs + forecast.workMs,
      waitMs,
      expectedDurationMs: forecast.workMs / workTimeRatio,
      forecast,
    };
  }
}
