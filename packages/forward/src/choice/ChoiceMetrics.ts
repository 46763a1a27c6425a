/**
 * Metrics of admission, choice and ejection.
 */
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

const WAIT_BUCKETS_SECONDS = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Described for operators in `docs/operators/metrics-choice.md`. */
export default class ChoiceMetrics {
  readonly choices;

  readonly refusals;

  readonly queueLength;

  readonly queueWait;

  readonly inFlight;

  readonly ejections;

  constructor(registry: Registry) {
    const registers = [registry];
    this.choices = new Counter({
      name: 'burdockcove_choices_total',
      help: 'Targets chosen, by region and by whether the target was one of last resort',
      labelNames: ['service', 'region', 'last_resort'],
      registers,
    });
    this.refusals = new Counter({
      name: 'burdockcove_choice_refusals_total',
      help: 'Requests refused before any target was reached, by reason',
      labelNames: ['service', 'reason'],
      registers,
    });
    this.queueLength = new Gauge({
      name: 'burdockcove_queue_length',
      help: 'Requests that wait for a slot',
      labelNames: ['service'],
      registers,
    });
    this.queueWait = new Histogram({
      name: 'burdockcove_queue_wait_seconds',
      help: 'Time that requests waited for a slot before they were sent',
      labelNames: ['service'],
      buckets: WAIT_BUCKETS_SECONDS,
      registers,
    });
    this.inFlight = new Gauge({
      name: 'burdockcove_requests_in_flight',
      help: 'Requests that hold a slot at a target',
      labelNames: ['service', 'region'],
      registers,
    });
    this.ejections = new Counter({
      name: 'burdockcove_target_ejections_total',
      help: 'Times that a target was ejected on own evidence',
      labelNames: ['service', 'target', 'cause'],
      registers,
    });
  }
}
