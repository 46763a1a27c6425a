/**
 * Base64 as the gateway encodes keys and values.
 */

/** The text behind the encoding. */
export default function decodeBase64(encoded: string): string {
  return Buffer.from(encoded, 'base64').toString('utf8');
}
