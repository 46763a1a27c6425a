/**
 * Requests slots in farther regions before the nearest region is full.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Service from '@burdockcove/types/Service';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type RegionEvaluation from './RegionEvaluation.js';
import SPREAD_MIN_UTILIZATION from './SPREAD_MIN_UTILIZATION.js';

const REQUEST_INTERVAL_MS = 250;
/** Free slots to hold in farther regions, beyond those in use. */
const SPARE_SLOTS = 1;

/** Only for the objective `headroom`, whose requests spread while the nearest region still has free slots. */
export default class SpreadSlotRequester {
  private readonly lastRequests = new Map<string, { atMs: number; wanted: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly ledger: SlotLedger,
  ) {}

  update(service: Service, regions: readonly RegionEvaluation[]): void {
    const [nearest, ...farther] = regions;
    if (service.objective !== 'headroom' || nearest === undefined || farther.length === 0) {
      return;
    }
    const key = `${service.name}/${farther.map(({ region }) => region).join()}`;
    const wanted = nearest.utilization > SPREAD_MIN_UTILIZATION ? SPARE_SLOTS : 0;
    const last = this.lastRequests.get(key) ?? { atMs: -Infinity, wanted: 0 };
    const nowMs = this.clock.getMonotonicMs();
    const isDue = wanted > 0 && nowMs - last.atMs >= REQUEST_INTERVAL_MS;
    if (!isDue && wanted === last.wanted) {
      return;
    }
    this.lastRequests.set(key, { atMs: nowMs, wanted });
    const targets = farther.flatMap((region) => region.targets.map(({ target }) => target.name));
    this.ledger.requestSlots(targets, wanted);
  }
}
