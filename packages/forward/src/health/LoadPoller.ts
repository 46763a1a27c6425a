/**
 * Polling of the load reports of the targets that this entry VM sends to.
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

/** Well below the two seconds within which a draining target must get no new work. */
const INTERVAL_MS = 1_000;
/** Polls vary by this share of the interval, so that entry VMs do not ask together. */
const JITTER = 0.2;
/** A target that no request has looked at for this long is not polled any more. */
const KEEP_MS = 30_000;
/** A target that has not answered its first poll for this long may get work without it. */
const FIRST_WORD_MS = 200;

interface Polled {
  readonly target: Target;
  readonly state: TargetState;
  readonly sinceMs: number;
  wantedMs: number;
  asked: boolean;
}

/** One task for each target watched; it ends when the target is not watched any more. */
export default class LoadPoller implements Child, LoadSource {
  readonly name = 'load-poller';

  private readonly polled = new Map<string, Polled>();

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
      help: 'Polls of load reports, by what came of them',
      labelNames: ['service', 'outcome'],
      registers: [registry],
    });
  }

  /** Polls until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const stopped = new AbortController();
    setMaxListeners(0, stopped.signal);
    this.signal = stopped.signal;
    this.polled.forEach((entry) => this.startTask(entry, stopped.signal));
    await new Promise<void>((resolve) => {
      signal.addEventListener('abort', () => resolve(), { once: true });
    });
    this.signal = null;
    stopped.abort();
  }

  watchTarget(target: Target, state: TargetState): void {
    const nowMs = this.clock.getMonotonicMs();
    const known = this.polled.get(target.name);
    if (known !== undefined && known.state === state) {
      known.wantedMs = nowMs;
      return;
    }
    const entry = { target, state, sinceMs: nowMs, wantedMs: nowMs, asked: false };
    this.polled.set(target.name, entry);
    if (this.signal !== null) {
      this.startTask(entry, this.signal);
    }
  }

  hasWord(target: Target): boolean {
    const entry = this.polled.get(target.name);
    if (entry === undefined) {
      return false;
    }
    return entry.asked || this.clock.getMonotonicMs() - entry.sinceMs >= FIRST_WORD_MS;
  }

  private startTask(entry: Polled, signal: AbortSignal): void {
    this.pollTarget(entry, signal).catch((error: unknown) => {
      const peer = entry.target.address;
      this.logger.error('polling failed', { step: 'poll', peer, error: String(error) });
      this.polled.delete(entry.target.name);
    });
  }

  private async pollTarget(entry: Polled, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.isWanted(entry)) {
      await this.readReport(entry);
      await waitFor(this.clock, this.drawIntervalMs(), signal);
    }
    if (this.polled.get(entry.target.name) === entry && !signal.aborted) {
      this.polled.delete(entry.target.name);
    }
  }

  private isWanted(entry: Polled): boolean {
    const isCurrent = this.polled.get(entry.target.name) === entry;
    return isCurrent && this.clock.getMonotonicMs() - entry.wantedMs <= KEEP_MS;
  }

  private drawIntervalMs(): number {
    return INTERVAL_MS * (1 - JITTER + 2 * JITTER * this.random.nextFloat());
  }

  private async readReport(entry: Polled): Promise<void> {
    const { target, state } = entry;
    const askedMs = this.clock.getMonotonicMs();
    const ownInFlight = state.inFlight;
    const load = await this.protocol.readLoad(target.address)();
    this.polls.inc({ service: target.service, outcome: isRight(load) ? 'answered' : 'failed' });
    if (isLeft(load)) {
      state.report.recordPollFailure();
    } else {
      this.recordReport(entry, load.right, askedMs, ownInFlight);
    }
    if (state.failures.getCondition(askedMs) !== 'healthy') {
      await this.readHealth(entry, askedMs);
    }
    Object.assign(entry, { asked: true });
  }

  private recordReport(
    { target, state }: Polled,
    load: TargetLoad,
    askedMs: number,
    ownInFlight: number,
  ): void {
    const change = state.report.recordReport(load, askedMs, ownInFlight);
    if (change === 'none') {
      return;
    }
    this.logger.info('target changed its word on draining', {
      step: 'poll',
      peer: target.address,
      draining: change === 'began',
    });
    if (change === 'ended') {
      state.slowStart.start(this.clock.getMonotonicMs());
    }
  }

  /** Only sick targets are asked for their health, before a request that must not run twice is tried there. */
  private async readHealth({ target, state }: Polled, askedMs: number): Promise<void> {
    const health = await this.protocol.readHealth(target.address)();
    if (isRight(health) && health.right) {
      state.report.recordHealthy(askedMs);
    }
  }
}
