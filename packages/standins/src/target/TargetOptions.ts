/**
 * Options of a target stand-in.
 */

/** One instance of a service. */
interface TargetOptions {
  readonly name: string;
  readonly ip: string;
  /** Zero picks a free port. */
  readonly port: number;
  readonly slots: number;
  readonly maxConnections: number;
  /** Mean time to run one request, in milliseconds. */
  readonly serviceMs: number;
  /** Size of the filler in each answer, in bytes. */
  readonly answerBytes: number;
  /** Time after the start during which requests take `coldFactor` times as long, in milliseconds. */
  readonly coldMs: number;
  readonly coldFactor: number;
  readonly seed: number;
}

export default TargetOptions;
