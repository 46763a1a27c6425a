/**
 * Decides whether an exchange on a silent connection is abandoned.
 */

/** Called while the connection is silent; true cancels the exchange, so that the request can go to another target. */
interface AbandonPolicy {
  canAbandonAttempt(): boolean;
}

export default AbandonPolicy;
