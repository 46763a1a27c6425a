/**
 * Callers that send steady flows of requests and remember what they were told.
 */
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import waitFor from '@burdockcove/runtime/waitFor';
import type CallerOutcome from '../caller/CallerOutcome.js';
import type CallerStandIn from '../caller/CallerStandIn.js';
import type TrafficFlow from './TrafficFlow.js';

const TICK_MS = 5;
const MS_PER_SECOND = 1000;

/** Sends while it runs; at the end it waits for the answers still due. */
export default class TrafficSource implements Child {
  readonly name = 'traffic';

  readonly outcomes: CallerOutcome[] = [];

  private readonly pending = new Set<Promise<void>>();

  constructor(
    private readonly clock: Clock,
    private readonly callers: ReadonlyMap<string, CallerStandIn>,
    private readonly flows: readonly TrafficFlow[],
    private readonly onOutcome: (outcome: CallerOutcome) => void = () => undefined,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const startMs = this.clock.getMonotonicMs();
    const sent = this.flows.map(() => 0);
    while (!signal.aborted) {
      const elapsedMs = this.clock.getMonotonicMs() - startMs;
      this.flows.forEach((flow, index) => {
        const due = Math.floor((elapsedMs * flow.requestsPerSecond) / MS_PER_SECOND);
        while ((sent[index] ?? 0) < due) {
          this.sendNext(flow, sent[index] ?? 0);
          sent[index] = (sent[index] ?? 0) + 1;
        }
      });
      await waitFor(this.clock, TICK_MS, signal);
    }
    await Promise.all(this.pending);
  }

  private sendNext(flow: TrafficFlow, sequence: number): void {
    const name = flow.callers[sequence % flow.callers.length] ?? '';
    const caller = this.callers.get(name);
    if (caller === undefined) {
      throw new Error(`unknown caller ${name}`);
    }
    const sending = caller.sendRequest(flow.buildRequest(sequence, name)).then((outcome) => {
      this.outcomes.push(outcome);
      this.onOutcome(outcome);
      this.pending.delete(sending);
    });
    this.pending.add(sending);
  }
}
