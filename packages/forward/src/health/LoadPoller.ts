/**
 * Polls the load reports of the targets to which this entry VM sends requests.
 */
import { setMaxListeners } from 'node:events';
import { isLeft, isRight } from 'fp-ts/lib/Either.js';
import { Counter, type Registry } from 'prom-client';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import type TargetLoad from '@burdockcove/targets/TargetLoad';
import type TargetReports from '@burdockcove/targets/TargetReports';
import type Target from '@burdockcove/types/Target';
import type LoadSource from './LoadSource.js';
import type TargetState from './TargetState.js';

/** Well below the two seconds after which a draining target must get no new requests. */
const POLL_INTERVAL_MS = 1_000;
/** Share of the interval by which it varies at random, so that entry VMs do not poll at the same time. */
const INTERVAL_JITTER = 0.2;
/** Polling stops when no request has considered the target for this long. */
const UNUSED_TARGET_TTL_MS = 30_000;
/** A target may get requests without a report when its first poll takes longer than this. */
const INITIAL_POLL_TIMEOUT_MS = 200;

interface PolledTarget {
  readonly target: Target;
  readonly state: TargetState;
  readonly addedAtMs: number;
  lastWatchedAtMs: number;
  hasBeenPolled: boolean;
}

/** Runs one task per watched target; a task ends when its target is no longer watched. */
export default class LoadPoller implements Child, LoadSource {
  readonly name = 'load-poller';

  private readonly polledTargets = new Map<string, PolledTarget>();

  private readonly polls: Counter<'service' | 'outcome'>;

  private signal: AbortSignal | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly protocol: TargetReports,
    registry: Registry,
  ) {
    this.polls = new Counter({
      name: 'burdockcove_target_polls_total',
      help: 'Polls of target load reports, by outcome',
      labelNames: ['service', 'outcome'],
      registers: [registry],
    });
  }

  /** Polls until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const taskController = new AbortController();
    setMaxListeners(0, taskController.signal);
    this.signal = taskController.signal;
    this.polledTargets.forEach((entry) => this.startTask(entry, taskController.signal));
    await new Promise<void>((resolve) => {
      signal.addEventListener('abort', () => resolve(), { once: true });
    });
    this.signal = null;
    taskController.abort();
  }

  watchTarget(target: Target, state: TargetState): void {
    const nowMs = this.clock.getMonotonicMs();
    const known = this.polledTargets.get(target.name);
    if (known !== undefined && known.state === state) {
      known.lastWatchedAtMs = nowMs;
      return;
    }
    const entry = {
      target,
      state,
      addedAtMs: nowMs,
      lastWatchedAtMs: nowMs,
      hasBeenPolled: false,
    };
    this.polledTargets.set(target.name, entry);
    if (this.signal !== null) {
      this.startTask(entry, this.signal);
    }
  }

  isInitialPollDone(target: Target): boolean {
    const entry = this.polledTargets.get(target.name);
    if (entry === undefined) {
      return false;
    }
    return (
      entry.hasBeenPolled ||
      this.clock.getMonotonicMs() - entry.addedAtMs >= INITIAL_POLL_TIMEOUT_MS
    );
  }

  private startTask(entry: PolledTarget, signal: AbortSignal): void {
    this.pollTarget(entry, signal).catch((error: unknown) => {
      const peer = entry.target.address;
      this.logger.error('load polling task failed', { step: 'poll', peer, error: String(error) });
      this.polledTargets.delete(entry.target.name);
    });
  }

  private async pollTarget(entry: PolledTarget, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.isWatched(entry)) {
      await this.readReport(entry);
      await waitFor(this.clock, this.computeIntervalMs(), signal);
    }
    if (this.polledTargets.get(entry.target.name) === entry && !signal.aborted) {
      this.polledTargets.delete(entry.target.name);
    }
  }

  private isWatched(entry: PolledTarget): boolean {
    const isCurrent = this.polledTargets.get(entry.target.name) === entry;
    return isCurrent && this.clock.getMonotonicMs() - entry.lastWatchedAtMs <= UNUSED_TARGET_TTL_MS;
  }

  private computeIntervalMs(): number {
    return POLL_INTERVAL_MS * (1 - INTERVAL_JITTER + 2 * INTERVAL_JITTER * this.random.nextFloat());
  }

  private async readReport(entry: PolledTarget): Promise<void> {
    const { target, state } = entry;
    const requestedAtMs = this.clock.getMonotonicMs();
    const ownInFlight = state.inFlight;
    const load = await this.protocol.readLoad(target.address)();
    this.polls.inc({ service: target.service, outcome: isRight(load) ? 'answered' : 'failed' });
    if (isLeft(load)) {
      state.reportedLoad.recordPollFailure();
    } else {
      this.recordReport(entry, load.right, requestedAtMs, ownInFlight);
    }
    if (state.outlierDetector.getCondition(requestedAtMs) !== 'healthy') {
      await this.readHealth(entry, requestedAtMs);
    }
    Object.assign(entry, { hasBeenPolled: true });
  }

  private recordReport(
    { target, state }: PolledTarget,
    load: TargetLoad,
    requestedAtMs: number,
    ownInFlight: number,
  ): void {
    const change = state.reportedLoad.recordReport(load, requestedAtMs, ownInFlight);
    if (change === 'none') {
      return;
    }
    this.logger.info('target draining state changed', {
      step: 'poll',
      peer: target.address,
      draining: change === 'began',
    });
    if (change === 'ended') {
      state.slowStart.start(this.clock.getMonotonicMs());
    }
  }

  /** Called for ejected targets only: they must report to be healthy before they get an at-most-once request. */
  private async readHealth({ target, state }: PolledTarget, requestedAtMs: number): Promise<void> {
    const health = await this.protocol.readHealth(target.address)();
    if (isRight(health) && health.right) {
      state.reportedLoad.recordHealthy(requestedAtMs);
    }
  }
}
