/**
 * Settings of one burdockcove process.
 */

/** Normalised settings: every default is filled in. */
interface Settings {
  /** IP number that the process listens on. */
  readonly ip: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly adminPort: number;
  readonly failureDomain: string;
  /** Region of the failure domain; the process is not ready where the configuration says otherwise. */
  readonly region: string;
  readonly store: { readonly endpoints: readonly string[]; readonly prefix: string };
  readonly vmList: { readonly url: string; readonly pollMs: number };
  readonly log: {
    readonly level: 'debug' | 'info' | 'warn' | 'error';
    readonly format: 'json' | 'pretty';
  };
  /** Longest time a planned stop may take, in milliseconds. */
  readonly stopLimitMs: number;
  /** Seed of the process's random numbers. */
  readonly seed: number;
}

export default Settings;
