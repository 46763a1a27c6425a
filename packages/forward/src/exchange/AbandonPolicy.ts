/**
 * Whether an exchange on a silent connection is given up.
 */

/** Asked while nothing moves; true ends the exchange, so that the request can go elsewhere. */
interface AbandonPolicy {
  canAbandonAttempt(): boolean;
}

export default AbandonPolicy;
