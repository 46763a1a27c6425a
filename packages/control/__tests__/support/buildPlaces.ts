/**
 * Places of the VMs of a fleet under test.
 */

/** Two failure domains in each of three regions, filled in turn. */
export default function buildPlaces(
  count: number,
): readonly { readonly region: string; readonly failureDomain: string }[] {
  const regions = ['near', 'middle', 'far'];
  return Array.from({ length: count }, (_, index) => {
    const region = regions[index % regions.length] ?? '';
    const half = Math.floor(index / regions.length) % 2 === 0 ? 'a' : 'b';
    return { region, failureDomain: `${region}-${half}` };
  });
}
