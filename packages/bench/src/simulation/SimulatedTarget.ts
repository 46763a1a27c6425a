/**
 * A small fake of a target for simulations in virtual time.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import type AttemptResult from '@burdockcove/forward/AttemptResult';
import type Target from '@burdockcove/types/Target';
import sleep from './sleep.js';

const NEW_CONNECTION_MS = 1;
const COLD_MS = 5_000;
const COLD_FACTOR = 3;
/** The part of each service time that does not vary. */
const FIXED_PART = 0.5;
const HISTORY_MS = 10;

interface SimulatedTargetOptions {
  readonly target: Target;
  readonly oneWayMs: number;
  /** Mean time to run one request, in milliseconds. */
  readonly serviceMs: number;
  /** Time at which it starts, cold, in milliseconds; minus infinity for one that is warm. */
  readonly startedMs: number;
}

/** Runs as many requests at once as it has slots and sheds the rest; accepts deadlines. */
export default class SimulatedTarget {
  /** Requests that ran to their end for a caller still there. */
  useful = 0;

  sheds = 0;

  /** Time that its slots were in use, summed over the slots, in milliseconds. */
  busyMs = 0;

  attempts = 0;

  private inFlight = 0;

  private readonly idleConnections = new Map<number, number>();

  private readonly history: { readonly atMs: number; readonly inFlight: number }[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    readonly options: SimulatedTargetOptions,
  ) {}

  /** One exchange for the entry VM with this index; ends at the deadline at the latest. */
  async exchange(vm: number, deadlineAtMs: number): Promise<AttemptResult> {
    const startMs = this.clock.getMonotonicMs();
    const { oneWayMs } = this.options;
    await this.openConnection(vm);
    await sleep(this.clock, oneWayMs);
    const ended = await this.runRequest(deadlineAtMs - oneWayMs);
    await sleep(this.clock, oneWayMs);
    this.idleConnections.set(vm, (this.idleConnections.get(vm) ?? 0) + 1);
    const latencyMs = this.clock.getMonotonicMs() - startMs;
    return { ended, status: ended === 'answered' ? 200 : 0, latencyMs };
  }

  /** Requests in flight as they were `lagMs` ago. */
  readInFlight(lagMs: number): number {
    const atMs = this.clock.getMonotonicMs() - lagMs;
    return this.history.findLast((entry) => entry.atMs <= atMs)?.inFlight ?? 0;
  }

  private async openConnection(vm: number): Promise<void> {
    const idle = this.idleConnections.get(vm) ?? 0;
    if (idle > 0) {
      this.idleConnections.set(vm, idle - 1);
      return;
    }
    await sleep(this.clock, NEW_CONNECTION_MS);
  }

  private async runRequest(deadlineAtMs: number): Promise<AttemptResult['ended']> {
    this.attempts += 1;
    if (this.inFlight >= this.options.target.slots) {
      this.sheds += 1;
      return 'shed';
    }
    this.changeInFlight(1);
    const serviceMs = this.drawServiceMs();
    const leftMs = Math.max(0, deadlineAtMs - this.clock.getMonotonicMs());
    const heldMs = Math.min(serviceMs, leftMs);
    await sleep(this.clock, heldMs);
    this.busyMs += heldMs;
    this.changeInFlight(-1);
    if (serviceMs > leftMs) {
      return 'timed-out';
    }
    this.useful += 1;
    return 'answered';
  }

  private drawServiceMs(): number {
    const isCold = this.clock.getMonotonicMs() - this.options.startedMs < COLD_MS;
    const varying = -Math.log(1 - this.random.nextFloat()) * (1 - FIXED_PART);
    return this.options.serviceMs * (FIXED_PART + varying) * (isCold ? COLD_FACTOR : 1);
  }

  private changeInFlight(change: 1 | -1): void {
    const atMs = this.clock.getMonotonicMs();
    this.inFlight += change;
    if (atMs - (this.history.at(-1)?.atMs ?? -Infinity) >= HISTORY_MS) {
      this.history.push({ atMs, inFlight: this.inFlight });
    }
  }
}
