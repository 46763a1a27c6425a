/**
 * Bound on the news about members in one message.
 */

/** Records in one message; the rest waits for the next. */
const MAX_MEMBERS_PER_MESSAGE = 16;

export default MAX_MEMBERS_PER_MESSAGE;
