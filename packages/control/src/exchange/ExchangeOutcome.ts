/**
 * What an exchange brought.
 */

/** Facts about one answered exchange. */
interface ExchangeOutcome {
  /** Whether the peer knew a key at a newer revision. */
  readonly isNews: boolean;
  /** Whether this copy now has all that the peer's filled copy has. */
  readonly isWhole: boolean;
  /** Whether the VM to be probed answered the peer. */
  readonly probeAnswered: boolean;
}

export default ExchangeOutcome;
