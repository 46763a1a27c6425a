/**
 * The reason phrase of the response to a caller.
 */

const PATTERN = /^[\t\x20-\x7e]*$/;

/**
 * Returns the target's reason phrase, or an empty one if it is not plain ASCII: the client library decodes others as
 * UTF-8, and Node.js throws at characters that a phrase may not have. Callers ignore it (RFC 9112, section 4).
 */
export default function buildReasonPhrase(text: string | undefined): string {
  return text !== undefined && PATTERN.test(text) ? text : '';
}
