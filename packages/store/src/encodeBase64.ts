/**
 * Base64 as the gateway expects keys and values.
 */

/** The encoding of the text's UTF-8 bytes. */
export default function encodeBase64(text: string): string {
  return Buffer.from(text).toString('base64');
}
