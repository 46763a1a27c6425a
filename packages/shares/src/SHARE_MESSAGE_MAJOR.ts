/**
 * Major version of the core protocol's messages.
 */

/** Receivers reject messages with an unknown major version. */
const SHARE_MESSAGE_MAJOR = 1;

export default SHARE_MESSAGE_MAJOR;
