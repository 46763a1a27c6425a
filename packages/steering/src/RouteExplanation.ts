/**
 * Explanation of how a client's requests are routed.
 */
import type RuledOut from './RuledOut.js';

/** The selector and routes that apply to one service and client, and what was ruled out. */
interface RouteExplanation {
  readonly revision: number;
  readonly service: string;
  readonly client: string;
  /** Empty if no client block contains the address. */
  readonly clientRegion: string;
  /** The selector that applies; empty if there is none. */
  readonly selector: string;
  readonly overflow: boolean;
  readonly routes: readonly {
    readonly targets: Readonly<Record<string, string>>;
    /** Share by the weights currently in force, 0 to 1. */
    readonly inForce: number;
    /** Share by the configured weights, 0 to 1; differs from `inForce` while a shift is running. */
    readonly ordered: number;
    /**
     * Effective share, 0 to 1: like `inForce`, but the shares of routes without targets go to the
     * other routes.
     */
    readonly share: number;
    readonly regions: readonly {
      readonly region: string;
      /** One-way delay from this entry VM, in milliseconds. */
      readonly oneWayMs: number;
      readonly targets: readonly string[];
    }[];
  }[];
  readonly ruledOut: readonly RuledOut[];
}

export default RouteExplanation;
