/**
 * Why a caller goes where it goes.
 */
import type RuledOut from './RuledOut.js';

/** The rules that apply to one service and client, with what they ruled out. */
interface RouteExplanation {
  readonly revision: number;
  readonly service: string;
  readonly client: string;
  /** Empty where no client block holds the address. */
  readonly clientRegion: string;
  /** The selector that decides, empty where none applies. */
  readonly selector: string;
  readonly overflow: boolean;
  readonly routes: readonly {
    readonly targets: Readonly<Record<string, string>>;
    /** Share by the weights in force now, 0 to 1. */
    readonly inForce: number;
    /** Share by the weights that the configuration orders; it differs while a shift runs. */
    readonly ordered: number;
    /** Share that it takes: as in force, but routes without a target give theirs to the others. */
    readonly share: number;
    readonly regions: readonly {
      readonly region: string;
      /** One way from this entry VM, in milliseconds. */
      readonly oneWayMs: number;
      readonly targets: readonly string[];
    }[];
  }[];
  readonly ruledOut: readonly RuledOut[];
}

export default RouteExplanation;
