/**
 * Base64 encoding of keys and values for the gateway.
 */

/** Encodes the UTF-8 bytes of the text. */
export default function encodeBase64(text: string): string {
  return Buffer.from(text).toString('base64');
}
