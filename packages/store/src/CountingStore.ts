/**
 * Metrics of store calls.
 */
import { Counter, Gauge, type Registry } from 'prom-client';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type StoreError from '@burdockcove/types/StoreError';
import type Store from './Store.js';
import StoreDecorator from './StoreDecorator.js';

/** Metrics of a process, shared by the decorators of all causes. */
interface StoreMetrics {
  readonly calls: Counter<'cause' | 'call' | 'result'>;
  readonly watches: Gauge<'cause'>;
}

const metricsByRegistry = new WeakMap<Registry, StoreMetrics>();

function createMetrics(registry: Registry): StoreMetrics {
  const calls = new Counter({
    name: 'burdockcove_store_calls_total',
    help: 'Store calls by cause, call and result',
    labelNames: ['cause', 'call', 'result'] as const,
    registers: [registry],
  });
  const watches = new Gauge({
    name: 'burdockcove_store_watches',
    help: 'Open store watches by cause',
    labelNames: ['cause'] as const,
    registers: [registry],
  });
  return { calls, watches };
}

function getMetrics(registry: Registry): StoreMetrics {
  const metrics = metricsByRegistry.get(registry) ?? createMetrics(registry);
  metricsByRegistry.set(registry, metrics);
  return metrics;
}

/** Wraps a store for one cause (`replica`, `roles`, `audit`, …) and counts each call with its result. */
export default class CountingStore extends StoreDecorator {
  private readonly metrics: StoreMetrics;

  constructor(
    store: Store,
    private readonly cause: string,
    registry: Registry,
  ) {
    super(store);
    this.metrics = getMetrics(registry);
  }

  override watchPrefix(...args: Parameters<Store['watchPrefix']>): TaskEither<StoreError, void> {
    const watch = super.watchPrefix(...args);
    return async () => {
      this.metrics.watches.inc({ cause: this.cause });
      const result = await watch();
      this.metrics.watches.dec({ cause: this.cause });
      return result;
    };
  }

  protected override wrapCall<Answer>(
    call: string,
    task: TaskEither<StoreError, Answer>,
  ): TaskEither<StoreError, Answer> {
    const count = (result: string): void =>
      this.metrics.calls.inc({ cause: this.cause, call, result });
    return TE.bimap(
      (error: StoreError) => {
        count(error._tag);
        return error;
      },
      (answer: Answer) => {
        count('ok');
        return answer;
      },
    )(task);
  }
}
