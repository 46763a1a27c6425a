/**
 * Where the demand on one service would go.
 */

/** Computed on the weights that the configuration orders, after every shift has ended. */
interface Placement {
  /** Requests at once by region of the targets. */
  readonly byRegion: ReadonlyMap<string, number>;
  /** Requests at once that no slot is left for. */
  readonly unplaced: number;
  /** Mbit/s of answers by direction of a link, `FROM>TO`. */
  readonly links: ReadonlyMap<string, number>;
}

export default Placement;
