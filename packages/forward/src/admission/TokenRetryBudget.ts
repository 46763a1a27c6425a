/**
 * A token bucket of retries for each service, filled by first attempts.
 */
import type { Registry } from 'prom-client';
import { Counter } from 'prom-client';
import type Service from '@burdockcove/types/Service';
import type RetryBudget from '../RetryBudget.js';

/** Tokens that a service may save up, so that a quiet hour earns no storm of retries. */
const MAX_TOKENS = 20;
/** Tokens at the start, so that a service with few requests can retry at all. */
const FIRST_TOKENS = 2;

/** Each first attempt adds `retryBudget` tokens; each retry takes one. Time adds none. */
export default class TokenRetryBudget implements RetryBudget {
  private readonly tokens = new Map<string, number>();

  private readonly decisions: Counter<'service' | 'decision'>;

  constructor(registry: Registry) {
    this.decisions = new Counter({
      name: 'burdockcove_retries_total',
      help: 'Retries that the budget allowed or denied',
      labelNames: ['service', 'decision'],
      registers: [registry],
    });
  }

  recordFirstAttempt(service: Service): void {
    const earned = this.readTokens(service) + service.retryBudget;
    this.tokens.set(service.name, Math.min(MAX_TOKENS, earned));
  }

  tryAcquireRetry(service: Service): boolean {
    const tokens = this.readTokens(service);
    const allowed = service.retryBudget > 0 && tokens >= 1;
    if (allowed) {
      this.tokens.set(service.name, tokens - 1);
    }
    this.decisions.inc({ service: service.name, decision: allowed ? 'allowed' : 'denied' });
    return allowed;
  }

  private readTokens(service: Service): number {
    return this.tokens.get(service.name) ?? FIRST_TOKENS;
  }
}
