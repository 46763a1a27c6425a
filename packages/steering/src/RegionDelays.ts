/**
 * One-way delays between regions.
 */
import type Link from '@burdockcove/types/Link';

/** Built from the configured links; regions without a link between them exchange no traffic. */
export default class RegionDelays {
  private readonly delays = new Map<string, number>();

  constructor(links: readonly Link[]) {
    links.forEach(({ between: [one, other], oneWayMs }) => {
      this.delays.set(`${one}>${other}`, oneWayMs);
      this.delays.set(`${other}>${one}`, oneWayMs);
    });
  }

  /** One-way delay in milliseconds; zero within a region, infinite if no link is configured. */
  getOneWayMs(from: string, to: string): number {
    return from === to ? 0 : (this.delays.get(`${from}>${to}`) ?? Infinity);
  }
}
