/**
 * Options of a caller stand-in.
 */

/** One caller: a shopkeeper, a maker, a plot holder or a site keeper. */
interface CallerOptions {
  readonly name: string;
  /** Loopback address the caller's connections come from. */
  readonly localIp: string;
  /** `IP:PORT` of the entry VMs it asks first. */
  readonly entries: readonly string[];
  readonly timeoutMs: number;
}

export default CallerOptions;
