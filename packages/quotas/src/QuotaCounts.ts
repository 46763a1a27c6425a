/**
 * What happened to portions at this VM.
 */

/** Increments are plain numbers, since they are on the request path. */
export default class QuotaCounts {
  /** Requests that portions were asked for. */
  wanted = 0;

  granted = 0;

  /** Answers of owners that granted nothing. */
  denied = 0;

  /** Granted requests that were not used in time. */
  void = 0;

  /** Portions that no owner answered for in time. */
  unanswered = 0;

  /** Requests refused because each part of their customer's quota was used up. */
  refusedDenied = 0;

  /** Requests refused because no owner answered in time. */
  refusedUnanswered = 0;

  /** Calls to other VMs. */
  calls = 0;

  /** Requests granted to this and other VMs as an owner. */
  grantedAsOwner = 0;

  /** Requests that waited for a portion, and milliseconds that they waited in total. */
  waits = 0;

  waitedMs = 0;
}
