/**
 * Store keys of operators' orders for shifts.
 */

/** Returns the key of the selector's last order, relative to the store's prefix. */
export default function getShiftOrderKey(selector: string): string {
  return `state/shift-order/${selector}`;
}
