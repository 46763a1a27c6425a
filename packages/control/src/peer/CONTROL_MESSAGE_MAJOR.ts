/**
 * Version of the messages of distribution and membership.
 */

/** A receiver that does not know the number refuses the message. */
const CONTROL_MESSAGE_MAJOR = 1;

export default CONTROL_MESSAGE_MAJOR;
