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
    /** Weight in force now. */
    readonly weight: number;
    /** Weight that the configuration orders; it differs while a shift runs. */
    readonly orderedWeight: number;
    /** Share of the selector's traffic, 0 to 1. */
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
