/**
 * A selector: which labelled targets may take which traffic, and how much may move at once.
 */
import type Route from './Route.js';
import type ShiftLimit from './ShiftLimit.js';

/** One selector as the operators configure it; the first that matches a request decides. */
interface Selector {
  readonly name: string;
  readonly service: string;
  /** Client regions whose traffic it applies to; empty means all. */
  readonly clientRegions: readonly string[];
  readonly routes: readonly Route[];
  /** Within a route, targets outside the nearest region may be used when the nearest is full or lost. */
  readonly overflow: boolean;
  readonly shift: ShiftLimit;
}

export default Selector;
