/**
 * Version of the evidence messages.
 */

/** Raised when an older receiver would misread a message. */
const EVIDENCE_MESSAGE_MAJOR = 1;

export default EVIDENCE_MESSAGE_MAJOR;
