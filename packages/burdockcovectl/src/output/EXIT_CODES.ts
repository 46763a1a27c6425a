/**
 * Exit codes of the command.
 */

/** Scripts rely on these. */
const EXIT_CODES = { done: 0, Refused: 1, Usage: 2, Unknown: 3 } as const;

export default EXIT_CODES;
