/**
 * Version of the core protocol's messages.
 */

/** A receiver that does not know the number refuses the message. */
const SHARE_MESSAGE_MAJOR = 1;

export default SHARE_MESSAGE_MAJOR;
