/**
 * Records the latest evaluation of each region for metrics and logs.
 */
import { Gauge, type Registry } from 'prom-client';
import type Logger from '@burdockcove/runtime/Logger';
import type RegionEvaluation from './RegionEvaluation.js';
import type TargetEvaluation from './TargetEvaluation.js';

type Labels = Readonly<{ service: string; region: string }>;

function describeStanding({ ruledOut, lastResort }: TargetEvaluation): string {
  return ruledOut ?? (lastResort ? 'last-resort' : 'usable');
}

/** Sets the gauges only when they are scraped, since every attempt evaluates its targets. */
export default class EvaluationRecorder {
  private readonly latest = new Map<string, { labels: Labels; evaluation: RegionEvaluation }>();

  private readonly utilization;

  private readonly ejectionIgnored;

  private readonly targets;

  constructor(
    private readonly logger: Logger,
    registry: Registry,
  ) {
    const labelNames = ['service', 'region'] as const;
    const collect = (): void => this.setGauges();
    this.utilization = new Gauge({
      name: 'burdockcove_region_use_ratio',
      help: 'Utilization of the slots that this VM may use in the region, averaged over a second',
      labelNames,
      registers: [registry],
      collect,
    });
    this.ejectionIgnored = new Gauge({
      name: 'burdockcove_ejection_ignored',
      help: '1 while ejection is ignored because too many targets of the region are unhealthy',
      labelNames,
      registers: [registry],
    });
    this.targets = new Gauge({
      name: 'burdockcove_targets',
      help: 'Targets by their standing at the last request: usable, last-resort or the reason that rules them out',
      labelNames: [...labelNames, 'standing'],
      registers: [registry],
    });
  }

  record(evaluation: RegionEvaluation): void {
    const service = evaluation.targets[0]?.target.service;
    if (service === undefined) {
      return;
    }
    const key = `${service}/${evaluation.region}`;
    const wasIgnored = this.latest.get(key)?.evaluation.ejectionIgnored ?? false;
    this.latest.set(key, { labels: { service, region: evaluation.region }, evaluation });
    if (wasIgnored !== evaluation.ejectionIgnored) {
      this.logger.warn(
        wasIgnored
          ? 'ejection is in effect again'
          : 'too many targets are unhealthy; ejection is ignored',
        {
          step: 'choice',
          peer: evaluation.region,
          service,
        },
      );
    }
  }

  private setGauges(): void {
    this.targets.reset();
    this.latest.forEach(({ labels, evaluation }) => {
      this.utilization.set(labels, evaluation.utilization);
      this.ejectionIgnored.set(labels, evaluation.ejectionIgnored ? 1 : 0);
      evaluation.targets.forEach((target) => {
        this.targets.inc({ ...labels, standing: describeStanding(target) });
      });
    });
  }
}
