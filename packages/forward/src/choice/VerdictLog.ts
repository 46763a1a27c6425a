/**
 * The last judgement of each region, for metrics and logs.
 */
import { Gauge, type Registry } from 'prom-client';
import type Logger from '@burdockcove/runtime/Logger';
import type RegionVerdict from './RegionVerdict.js';
import type TargetVerdict from './TargetVerdict.js';

type Labels = Readonly<{ service: string; region: string }>;

function describeStanding({ ruledOut, lastResort }: TargetVerdict): string {
  return ruledOut ?? (lastResort ? 'last-resort' : 'usable');
}

/** Gauges are computed when they are read, since judgements are made with every attempt. */
export default class VerdictLog {
  private readonly last = new Map<string, { labels: Labels; verdict: RegionVerdict }>();

  private readonly use;

  private readonly ignored;

  private readonly targets;

  constructor(
    private readonly logger: Logger,
    registry: Registry,
  ) {
    const labelNames = ['service', 'region'] as const;
    const collect = (): void => this.setGauges();
    this.use = new Gauge({
      name: 'burdockcove_region_use_ratio',
      help: 'Share in use of the slots that this VM may use in the region, averaged over a second',
      labelNames,
      registers: [registry],
      collect,
    });
    this.ignored = new Gauge({
      name: 'burdockcove_ejection_ignored',
      help: '1 while so many targets of a region look sick that ejection is ignored',
      labelNames,
      registers: [registry],
    });
    this.targets = new Gauge({
      name: 'burdockcove_targets',
      help: 'Targets by how the last request found them: usable, last-resort or a reason against',
      labelNames: [...labelNames, 'standing'],
      registers: [registry],
    });
  }

  record(verdict: RegionVerdict): void {
    const service = verdict.targets[0]?.target.service;
    if (service === undefined) {
      return;
    }
    const key = `${service}/${verdict.region}`;
    const before = this.last.get(key)?.verdict.ejectionIgnored ?? false;
    this.last.set(key, { labels: { service, region: verdict.region }, verdict });
    if (before !== verdict.ejectionIgnored) {
      this.logger.warn(before ? 'ejection applies again' : 'too many look sick, none ejected', {
        step: 'choice',
        peer: verdict.region,
        service,
      });
    }
  }

  private setGauges(): void {
    this.targets.reset();
    this.last.forEach(({ labels, verdict }) => {
      this.use.set(labels, verdict.use);
      this.ignored.set(labels, verdict.ejectionIgnored ? 1 : 0);
      verdict.targets.forEach((target) => {
        this.targets.inc({ ...labels, standing: describeStanding(target) });
      });
    });
  }
}
