/**
 * Store keys of shift records.
 */

/** Returns the key of the selector's shift record, relative to the store's prefix. */
export default function getShiftKey(selector: string): string {
  return `state/shift/${selector}`;
}
