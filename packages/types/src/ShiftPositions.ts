/**
 * How far each capped shift has gone, as this entry VM knows it.
 */
import type Route from './Route.js';

/** The weights in force for a selector: a step between the old routes and the ordered ones. */
interface ShiftPositions {
  /** Routes with the weights in force now for the named selector. */
  getRoutes(selector: string): readonly Route[];
}

export default ShiftPositions;
