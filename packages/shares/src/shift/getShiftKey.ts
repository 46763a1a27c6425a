/**
 * Where shift records are kept.
 */

/** Key of the selector's shift record under the store's prefix. */
export default function getShiftKey(selector: string): string {
  return `state/shift/${selector}`;
}
