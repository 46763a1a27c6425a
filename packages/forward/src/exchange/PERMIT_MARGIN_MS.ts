/**
 * How long a slot is held beyond its request's deadline.
 */

/** Added to the deadline of a request that did not end cleanly, in milliseconds. */
const PERMIT_MARGIN_MS = 1000;

export default PERMIT_MARGIN_MS;
