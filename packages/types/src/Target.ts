/**
 * A target: one instance of a service.
 */
import type Labels from './Labels.js';

/** One target as the operators configure it. */
interface Target {
  readonly name: string;
  readonly service: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests it runs at once. */
  readonly slots: number;
  /** The label `leaving: "true"` takes new work away from it. */
  readonly labels: Labels;
}

export default Target;
