/**
 * A retry budget as a token bucket per service, filled by first attempts.
 */
import type { Registry } from 'prom-client';
import { Counter } from 'prom-client';
import type Service from '@burdockcove/types/Service';
import type RetryBudget from '../RetryBudget.js';

/** Capacity of a bucket; it prevents a retry storm after a long time without retries. */
const MAX_TOKENS = 20;
/** Tokens at the start, so that a service with few requests can retry at all. */
const INITIAL_TOKENS = 2;

/** Each first attempt adds `retryBudget` tokens; each retry takes one. Tokens are not added over time. */
export default class TokenRetryBudget implements RetryBudget {
  private readonly tokens = new Map<string, number>();

  private readonly decisions: Counter<'service' | 'decision'>;

  constructor(registry: Registry) {
    this.decisions = new Counter({
      name: 'burdockcove_retries_total',
      help: 'Retries that the retry budget allowed or denied',
      labelNames: ['service', 'decision'],
      registers: [registry],
    });
  }

  recordFirstAttempt(service: Service): void {
    const earned = this.getTokens(service) + service.retryBudget;
    this.tokens.set(service.name, Math.min(MAX_TOKENS, earned));
  }

  tryAcquireRetry(service: Service): boolean {
    const tokens = this.getTokens(service);
    const allowed = service.retryBudget > 0 && tokens >= 1;
    if (allowed) {
      this.tokens.set(service.name, tokens - 1);
    }
    this.decisions.inc({ service: service.name, decision: allowed ? 'allowed' : 'denied' });
    return allowed;
  }

  private getTokens(service: Service): number {
    return this.tokens.get(service.name) ?? INITIAL_TOKENS;
  }
}
