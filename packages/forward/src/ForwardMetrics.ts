/**
 * Prometheus metrics of the request path.
 */
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';
import type AttemptResult from './AttemptResult.js';
import type WaitMetrics from './admission/WaitMetrics.js';
import LabelledCounts from './LabelledCounts.js';

const LATENCY_BUCKETS_SECONDS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];
const RATIO_BUCKETS = [0.25, 0.5, 0.67, 0.8, 0.9, 1.1, 1.25, 1.5, 2, 4];
const MS_PER_SECOND = 1000;

type Outcome = 'answered' | 'not-run' | 'unknown' | 'cut' | 'caller-gone';

/** Registers the metrics that `docs/operators/metrics-forward.md` lists. */
export default class ForwardMetrics implements WaitMetrics {
  private readonly requests = new LabelledCounts('service', 'outcome');

  private readonly durations;

  private readonly refusals;

  private readonly attempts = new LabelledCounts('service', 'ended');

  private readonly openedConnections;

  private readonly silentConnections;

  private readonly closedWithLike;

  private readonly lookups;

  private readonly rejectedConnections;

  private readonly waits;

  private readonly stalls;

  private readonly estimates;

  private readonly healthChecks;

  private readonly targetNotices;

  private onOutcome: (service: string, outcome: Outcome) => void = () => undefined;

  constructor(private readonly registry: Registry) {
    const registers = [registry];
    this.addCounts(
      'burdockcove_requests_total',
      'Requests by the outcome reported to the caller',
      this.requests,
      ['service', 'outcome'],
    );
    this.durations = new Histogram({
      name: 'burdockcove_request_seconds',
      help: 'Seconds from the head of a request to the end of its response',
      labelNames: ['service'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    });
    this.refusals = new Counter({
      name: 'burdockcove_refusals_total',
      help: 'Requests refused with the outcome not-run, by reason',
      labelNames: ['reason'],
      registers,
    });
    this.addCounts(
      'burdockcove_attempts_total',
      'Exchanges with targets by result',
      this.attempts,
      ['service', 'ended'],
    );
    this.openedConnections = new Counter({
      name: 'burdockcove_target_connections_opened_total',
      help: 'Connections opened to targets',
      registers,
    });
    this.silentConnections = new Counter({
      name: 'burdockcove_silent_connections_total',
      help: 'Exchanges without a byte sent or received for longer than the limit',
      registers,
    });
    this.closedWithLike = new Counter({
      name: 'burdockcove_connections_closed_with_like_total',
      help: 'Idle connections closed because another connection to the same target went silent',
      registers,
    });
    this.lookups = new Counter({
      name: 'burdockcove_lookups_total',
      help: 'Requests for the list of entry VMs by status',
      labelNames: ['status'],
      registers,
    });
    this.rejectedConnections = new Counter({
      name: 'burdockcove_caller_connections_dropped_total',
      help: 'Caller connections rejected at the connection limit',
      registers,
    });
    this.waits = new Histogram({
      name: 'burdockcove_wait_seconds',
      help: 'Seconds that queued requests waited for capacity, by whether they were served',
      labelNames: ['ended'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    });
    this.healthChecks = new Counter({
      name: 'burdockcove_health_checks_total',
      help: 'Health checks of targets that might be cold, by what they found',
      labelNames: ['outcome'],
      registers,
    });
    this.targetNotices = new Counter({
      name: 'burdockcove_target_notices_total',
      help: 'What targets said of themselves: that they leave, or that they want no requests for a time',
      labelNames: ['kind'],
      registers,
    });
    this.estimates = new Histogram({
      name: 'burdockcove_estimate_ratio',
      help: 'Expected over actual time until a response, where work is learned',
      labelNames: ['service'],
      buckets: RATIO_BUCKETS,
      registers,
    });
    this.stalls = new Histogram({
      name: 'burdockcove_stall_seconds',
      help: 'Seconds for which the process did not run, by stall',
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    });
  }

  /** Records expected over actual time until a response. */
  recordEstimate(service: string, ratio: number): void {
    this.estimates.observe({ service }, ratio);
  }

  /** Counts a health check of a target; `outcome` is what it found. */
  recordHealthCheck(outcome: string): void {
    this.healthChecks.inc({ outcome });
  }

  /** Counts what targets say of themselves, by kind. */
  recordTargetNotice(kind: string): void {
    this.targetNotices.inc({ kind });
  }

  recordStall(stalledMs: number): void {
    this.stalls.observe(stalledMs / MS_PER_SECOND);
  }

  recordRejectedConnection(): void {
    this.rejectedConnections.inc();
  }

  recordRequest(service: string, outcome: Outcome, durationMs: number): void {
    this.requests.add(service, outcome);
    this.onOutcome(service, outcome);
    this.durations.observe({ service }, durationMs / MS_PER_SECOND);
  }

  /** Sets the function that is called with the outcome of each request; replaces an earlier one. */
  setOutcomeListener(listener: (service: string, outcome: Outcome) => void): void {
    this.onOutcome = listener;
  }

  recordRefusal(reason: string): void {
    this.refusals.inc({ reason });
  }

  recordAttempt(service: string, ended: AttemptResult['ended']): void {
    this.attempts.add(service, ended);
  }

  recordOpenedConnection(): void {
    this.openedConnections.inc();
  }

  /** Counts a silent connection, and the idle connections to the same target that were closed because of it. */
  recordSilentConnection(closedWithLike: number): void {
    this.silentConnections.inc();
    this.closedWithLike.inc(closedWithLike);
  }

  recordLookup(status: number): void {
    this.lookups.inc({ status: String(status) });
  }

  watchWaiting(count: () => number): void {
    this.addGauge(
      'burdockcove_requests_waiting',
      'Requests that wait for capacity at a target',
      count,
    );
  }

  recordWait(waitedMs: number, isServed: boolean): void {
    this.waits.observe({ ended: isServed ? 'served' : 'refused' }, waitedMs / MS_PER_SECOND);
  }

  watchOpenConnections(count: () => number): void {
    this.addGauge('burdockcove_target_connections', 'Open connections to targets', count);
  }

  watchHeldPermits(count: () => number): void {
    const help = 'Slots still held after an exchange that did not end cleanly';
    this.addGauge('burdockcove_held_slots', help, count);
  }

  watchInFlight(count: () => number): void {
    this.addGauge('burdockcove_caller_requests_in_flight', 'Requests of callers in flight', count);
  }

  watchCallerConnections(count: () => number): void {
    this.addGauge('burdockcove_caller_connections', 'Open connections from callers', count);
  }

  watchStopping(isStopping: () => boolean): void {
    const help = '1 while the process is stopping, 0 otherwise';
    this.addGauge('burdockcove_stopping', help, () => Number(isStopping()));
  }

  private addCounts<First extends string, Second extends string>(
    name: string,
    help: string,
    counts: LabelledCounts<First, Second>,
    labelNames: (First | Second)[],
  ): void {
    const counter: Counter<First | Second> = new Counter({
      name,
      help,
      labelNames,
      registers: [this.registry],
      collect: () => counts.publish(counter),
    });
  }

  private addGauge(name: string, help: string, count: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(count()),
    });
  }
}
