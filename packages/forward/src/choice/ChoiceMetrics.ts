/**
 * Prometheus metrics of admission, target choice and ejection.
 */
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';
import LabelledCounts from '../LabelledCounts.js';

/** Shorter waits are those of requests that found a free slot at once; they are not recorded. */
const MIN_WAIT_SECONDS = 0.001;
const WAIT_BUCKETS_SECONDS = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Registers the metrics that `docs/operators/metrics-choice.md` lists. */
export default class ChoiceMetrics {
  private readonly choices = new LabelledCounts('service', 'region');

  private readonly lastResortChoices = new LabelledCounts('service', 'region');

  private readonly inFlight = new LabelledCounts('service', 'region');

  readonly refusals;

  readonly queueLength;

  private readonly queueWait;

  readonly ejections;

  constructor(registry: Registry) {
    const registers = [registry];
    this.refusals = new Counter({
      name: 'burdockcove_choice_refusals_total',
      help: 'Requests refused before they were sent to a target, by reason',
      labelNames: ['service', 'reason'],
      registers,
    });
    this.queueLength = new Gauge({
      name: 'burdockcove_queue_length',
      help: 'Queued requests that wait for a slot',
      labelNames: ['service'],
      registers,
    });
    this.queueWait = new Histogram({
      name: 'burdockcove_queue_wait_seconds',
      help: 'Seconds that queued requests waited for a slot before they were sent',
      labelNames: ['service'],
      buckets: WAIT_BUCKETS_SECONDS,
      registers,
    });
    this.ejections = new Counter({
      name: 'burdockcove_target_ejections_total',
      help: 'Ejections of a target because of failures that this VM observed',
      labelNames: ['service', 'target', 'cause'],
      registers,
    });
    this.registerChoices(registry);
    this.registerInFlight(registry);
  }

  /** Records a choice, and the seconds that the request waited for it. */
  recordChoice(
    service: string,
    region: string,
    isLastResort: boolean,
    waitedSeconds: number,
  ): void {
    this.inFlight.add(service, region);
    const counts = isLastResort ? this.lastResortChoices : this.choices;
    counts.add(service, region);
    if (waitedSeconds >= MIN_WAIT_SECONDS) {
      this.queueWait.observe({ service }, waitedSeconds);
    }
  }

  /** Records the end of the exchange that followed a choice. */
  recordEnd(service: string, region: string): void {
    this.inFlight.add(service, region, -1);
  }

  private registerChoices(registry: Registry): void {
    const counter: Counter<'service' | 'region' | 'last_resort'> = new Counter({
      name: 'burdockcove_choices_total',
      help: 'Target choices by region and by whether the target was a last resort',
      labelNames: ['service', 'region', 'last_resort'],
      registers: [registry],
      collect: () => {
        counter.reset();
        this.choices.addToMetric(counter, { last_resort: 'false' });
        this.lastResortChoices.addToMetric(counter, { last_resort: 'true' });
      },
    });
  }

  private registerInFlight(registry: Registry): void {
    const gauge: Gauge<'service' | 'region'> = new Gauge({
      name: 'burdockcove_requests_in_flight',
      help: 'Requests that hold a slot at a target',
      labelNames: ['service', 'region'],
      registers: [registry],
      collect: () => this.inFlight.publish(gauge),
    });
  }
}
