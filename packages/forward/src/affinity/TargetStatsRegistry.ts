/**
 * Statistics that this VM keeps about targets, and the mean latency of requests.
 */
import type TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import type Clock from '@burdockcove/runtime/Clock';
import type Target from '@burdockcove/types/Target';
import type ChoiceRequest from '../ChoiceRequest.js';
import ServiceLoad from '../cost/ServiceLoad.js';
import LatencyAverage from './LatencyAverage.js';
import TargetStats from './TargetStats.js';

/** Target latency of a service that configures none. */
const DEFAULT_TARGET_LATENCY_MS = 500;
/** Mean latency assumed before the first response, as a share of the service's target latency. */
const INITIAL_LATENCY_SHARE = 0.5;
/** Number of targets from which on the statistics of unusable targets are removed. */
const MAX_TARGETS = 4096;

type Kind = Pick<ChoiceRequest, 'service' | 'plan'>;

function buildLatencyKey({ service, plan }: Kind): string {
  return `${plan.targetService} ${service.name}`;
}

/** Keeps one entry per target, and one latency average per service and target service. */
export default class TargetStatsRegistry {
  private readonly targetStats = new Map<string, TargetStats>();

  /** One for each target service, which are configured and few. */
  private readonly serviceLoads = new Map<string, ServiceLoad>();

  private readonly latencies = new Map<string, LatencyAverage>();

  constructor(
    private readonly clock: Clock,
    private readonly catalogue: TargetCatalogue,
  ) {}

  getTargetStats({ name, slots, service }: Target): TargetStats {
    const known = this.targetStats.get(name);
    if (known !== undefined) {
      return known;
    }
    if (this.targetStats.size >= MAX_TARGETS) {
      this.removeUnusable();
    }
    const stats = new TargetStats(this.clock, slots, this.getServiceLoad(service));
    this.targetStats.set(name, stats);
    return stats;
  }

  /** Returns the statistics for reading; those of a target without any are empty and not kept. */
  findTargetStats({ name, slots, service }: Target): TargetStats {
    const known = this.targetStats.get(name);
    return known ?? new TargetStats(this.clock, slots, this.serviceLoads.get(service));
  }

  /** Returns the mean latency of requests of the same service to the same target service. */
  getLatencyAverage(kind: Kind): LatencyAverage {
    const key = buildLatencyKey(kind);
    const known = this.latencies.get(key);
    if (known !== undefined) {
      return known;
    }
    const latency = this.findLatencyAverage(kind);
    this.latencies.set(key, latency);
    return latency;
  }

  /** Returns the mean latency for reading; one without any response is not kept. */
  findLatencyAverage(kind: Kind): LatencyAverage {
    const targetLatencyMs = kind.service.targetLatencyMs ?? DEFAULT_TARGET_LATENCY_MS;
    return (
      this.latencies.get(buildLatencyKey(kind)) ??
      new LatencyAverage(targetLatencyMs * INITIAL_LATENCY_SHARE)
    );
  }

  private getServiceLoad(service: string): ServiceLoad {
    const known = this.serviceLoads.get(service);
    if (known !== undefined) {
      return known;
    }
    const load = new ServiceLoad();
    this.serviceLoads.set(service, load);
    return load;
  }

  private removeUnusable(): void {
    [...this.targetStats.keys()]
      .filter((name) => this.catalogue.findUsable(name) === undefined)
      .forEach((name) => this.targetStats.delete(name));
  }
}
