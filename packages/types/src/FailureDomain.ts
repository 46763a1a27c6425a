/**
 * A failure domain: machines that may fail together, inside one region.
 */
import type Labels from './Labels.js';

/** One failure domain as the operators configure it. */
interface FailureDomain {
  readonly name: string;
  readonly region: string;
  readonly labels: Labels;
}

export default FailureDomain;
