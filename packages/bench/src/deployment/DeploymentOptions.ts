/**
 * Options of a deployment on loopback addresses.
 */

/** One deployment in one process; two of them need different second octets. */
interface DeploymentOptions {
  /** Name of a folder in `examples`. */
  readonly name: 'java' | 'estonia';
  /** Second octet of every address: 127.OCTET.x.y. */
  readonly octet: number;
  readonly entryVmsPerDomain: number;
  /** Mean service time of the targets, in milliseconds. */
  readonly serviceMs: number;
  /** Lag of the VM list, in milliseconds. */
  readonly listLagMs: number;
  /** Whether shifts use short windows, so that one fits in a demo: seconds a window. */
  readonly shiftWindowSeconds: number;
  readonly stopLimitMs: number;
  readonly seed: number;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent';
}

export default DeploymentOptions;
