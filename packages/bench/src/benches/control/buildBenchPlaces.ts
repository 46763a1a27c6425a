/**
 * Places of a fleet of any size.
 */

const REGIONS = 3;
const DOMAINS_PER_REGION = 2;

/** VMs spread evenly over three regions of two failure domains each, as today. */
export default function buildBenchPlaces(
  count: number,
): readonly { readonly region: string; readonly failureDomain: string }[] {
  return Array.from({ length: count }, (_, index) => {
    const region = `region-${index % REGIONS}`;
    const half = Math.floor(index / REGIONS) % DOMAINS_PER_REGION;
    return { region, failureDomain: `${region}-${half}` };
  });
}
