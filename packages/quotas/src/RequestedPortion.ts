/**
 * What an entry VM asks the owner of a part of a customer's quota for.
 */

/** The part's number counts from 0. */
interface RequestedPortion {
  readonly customer: string;
  readonly part: number;
  /** Number of requests, at least 1. */
  readonly wanted: number;
}

export default RequestedPortion;
