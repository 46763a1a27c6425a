/**
 * Slots of farther regions, asked for before the nearest region is full.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Service from '@burdockcove/types/Service';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type RegionVerdict from './RegionVerdict.js';
import SPREAD_FROM_USE from './SPREAD_FROM_USE.js';

const ASK_AGAIN_MS = 250;
/** Slots kept at hand in farther regions beyond those in use. */
const SLOTS_AT_HAND = 1;

/** Only for the objective `headroom`, whose requests are spread while the nearest region still has room. */
export default class SpreadDemand {
  private readonly asked = new Map<string, { atMs: number; wanted: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly ledger: SlotLedger,
  ) {}

  update(service: Service, regions: readonly RegionVerdict[]): void {
    const [nearest, ...farther] = regions;
    if (service.objective !== 'headroom' || nearest === undefined || farther.length === 0) {
      return;
    }
    const key = `${service.name}/${farther.map(({ region }) => region).join()}`;
    const wanted = nearest.use > SPREAD_FROM_USE ? SLOTS_AT_HAND : 0;
    const last = this.asked.get(key) ?? { atMs: -Infinity, wanted: 0 };
    const nowMs = this.clock.getMonotonicMs();
    const isDue = wanted > 0 && nowMs - last.atMs >= ASK_AGAIN_MS;
    if (!isDue && wanted === last.wanted) {
      return;
    }
    this.asked.set(key, { atMs: nowMs, wanted });
    const targets = farther.flatMap((region) => region.targets.map(({ target }) => target.name));
    this.ledger.requestSlots(targets, wanted);
  }
}
