/**
 * Capacity that is left while demand is placed.
 */
import type LabelledTarget from '@burdockcove/steering/LabelledTarget';
import type Configuration from '@burdockcove/types/Configuration';

/** Slots by target and, where the configuration limits it, requests at once by region. */
export default class CapacityBook {
  private readonly slots: Map<string, number>;

  private readonly regions: Map<string, number>;

  constructor(configuration: Configuration, service: string) {
    const targets = configuration.targets.filter((target) => target.service === service);
    this.slots = new Map(targets.map(({ name, slots }) => [name, slots]));
    this.regions = new Map(
      configuration.regions.map(({ name, maxInFlight }) => [
        name,
        maxInFlight[service] ?? Infinity,
      ]),
    );
  }

  /** Takes up to `amount` at the targets of one region; returns what it took. */
  take(region: string, targets: readonly LabelledTarget[], amount: number): number {
    let left = Math.min(amount, this.regions.get(region) ?? 0);
    const wanted = left;
    targets.forEach(({ target }) => {
      const free = this.slots.get(target.name) ?? 0;
      const taken = Math.min(free, left);
      this.slots.set(target.name, free - taken);
      left -= taken;
    });
    this.regions.set(region, (this.regions.get(region) ?? 0) - (wanted - left));
    return wanted - left;
  }
}
