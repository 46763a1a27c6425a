/**
 * What this VM has learned about the work of requests: one model for each service and target service.
 */
import type ChoiceRequest from '../ChoiceRequest.js';
import LogAverage from './LogAverage.js';
import WorkModel from './WorkModel.js';

/** Latency goal of a service that configures none, in milliseconds. */
const DEFAULT_GOAL_MS = 500;
/** First-visit work before any response, relative to the latency goal: most goals lie below the mean work. */
const INITIAL_WORK_RATIO = 1.3;
/** Warm over first-visit work before any is learned. */
const INITIAL_WARM_RATIO = 0.31;
/** Weight of a new sample in the mean work of a target service. */
const SMOOTHING_FACTOR = 0.05;
/** Mean work of a target service before any response, in milliseconds. */
const INITIAL_MEAN_MS = 300;
/** Models kept; services are configured, so more are left over from earlier configurations. */
const MAX_MODELS = 2048;

type Kind = Pick<ChoiceRequest, 'service' | 'plan'>;

/** Times are in milliseconds. */
export default class WorkModelRegistry {
  private readonly models = new Map<string, Map<string, WorkModel>>();

  private readonly meansMs = new Map<string, number>();

  private readonly warmRatio = new LogAverage();

  private modelCount = 0;

  constructor() {
    this.warmRatio.record(Math.log(INITIAL_WARM_RATIO), 1);
  }

  getModel({ service, plan }: Kind): WorkModel {
    const known = this.models.get(plan.targetService)?.get(service.name);
    return known ?? this.addModel(plan.targetService, service);
  }

  /** Returns the model for reading; one without any response is not kept. */
  findModel({ service, plan }: Kind): WorkModel {
    const known = this.models.get(plan.targetService)?.get(service.name);
    return known ?? this.createModel(service);
  }

  /** Returns the mean work of the requests that the target service runs. */
  getMeanMs(targetService: string): number {
    return this.meansMs.get(targetService) ?? INITIAL_MEAN_MS;
  }

  recordMean(targetService: string, workMs: number, weight: number): void {
    const meanMs = this.meansMs.get(targetService) ?? workMs;
    this.meansMs.set(targetService, meanMs + SMOOTHING_FACTOR * weight * (workMs - meanMs));
  }

  private addModel(targetService: string, service: Kind['service']): WorkModel {
    if (this.modelCount >= MAX_MODELS) {
      this.models.clear();
      this.modelCount = 0;
    }
    const models = this.models.get(targetService) ?? new Map<string, WorkModel>();
    const model = this.createModel(service);
    models.set(service.name, model);
    this.models.set(targetService, models);
    this.modelCount += 1;
    return model;
  }

  private createModel({ targetLatencyMs = DEFAULT_GOAL_MS }: Kind['service']): WorkModel {
    return new WorkModel(targetLatencyMs * INITIAL_WORK_RATIO, this.warmRatio);
  }
}
