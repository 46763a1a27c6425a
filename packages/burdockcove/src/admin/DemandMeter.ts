/**
 * Demand on each service as this entry VM sees it, for `burdockcovectl` to judge changes by.
 */
import type { Histogram, Registry } from 'prom-client';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import waitFor from '@burdockcove/runtime/waitFor';
import type StatusSection from './StatusSection.js';

const METRIC = 'burdockcove_request_seconds';
const WINDOW_MS = 10_000;
const MS_PER_SECOND = 1000;

/** Totals since the process started. */
interface Totals {
  readonly requests: number;
  readonly seconds: number;
}

/** Rate and, by Little's law, the mean number of requests at once over the last whole window. */
export default class DemandMeter implements Child, StatusSection {
  readonly name = 'demand';

  private last: ReadonlyMap<string, Totals> = new Map();

  private lastMs: number | undefined;

  private demand: readonly unknown[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly registry: Registry,
    private readonly region: string,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    await this.takeWindow();
    while (!signal.aborted) {
      await waitFor(this.clock, WINDOW_MS, signal);
      await this.takeWindow();
    }
  }

  describeStatus(): unknown {
    return this.demand;
  }

  private async takeWindow(): Promise<void> {
    const nowMs = this.clock.getMonotonicMs();
    const totals = await this.readTotals();
    const seconds = (nowMs - (this.lastMs ?? nowMs)) / MS_PER_SECOND;
    if (seconds > 0) {
      this.demand = [...totals].map(([service, { requests, seconds: busy }]) => {
        const before = this.last.get(service) ?? { requests: 0, seconds: 0 };
        return {
          service,
          region: this.region,
          inFlight: (busy - before.seconds) / seconds,
          perSecond: (requests - before.requests) / seconds,
        };
      });
    }
    this.last = totals;
    this.lastMs = nowMs;
  }

  private async readTotals(): Promise<ReadonlyMap<string, Totals>> {
    const metric = this.registry.getSingleMetric(METRIC) as Histogram<'service'> | undefined;
    const { values } = (await metric?.get()) ?? { values: [] };
    const totals = new Map<string, Totals>();
    values.forEach(({ metricName, labels, value }) => {
      const service = String(labels.service ?? '');
      const sum = totals.get(service) ?? { requests: 0, seconds: 0 };
      if (metricName === `${METRIC}_count`) {
        totals.set(service, { ...sum, requests: value });
      } else if (metricName === `${METRIC}_sum`) {
        totals.set(service, { ...sum, seconds: value });
      }
    });
    return totals;
  }
}
