/**
 * Shift positions for a fleet without running shifts.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type Route from '@burdockcove/types/Route';
import type ShiftPositions from '@burdockcove/types/ShiftPositions';

const NO_ROUTES: readonly Route[] = [];

/** Returns each selector's configured weights. */
export default class ConfiguredShiftPositions implements ShiftPositions {
  constructor(private readonly source: ConfigurationSource) {}

  getRoutes(selector: string): readonly Route[] {
    const current = this.source.getCurrent();
    const selectors = isSome(current) ? current.value.configuration.selectors : [];
    return selectors.find(({ name }) => name === selector)?.routes ?? NO_ROUTES;
  }
}
