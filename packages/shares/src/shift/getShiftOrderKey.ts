/**
 * Where operators' orders on shifts are kept.
 */

/** Key of the selector's last order under the store's prefix. */
export default function getShiftOrderKey(selector: string): string {
  return `state/shift-order/${selector}`;
}
