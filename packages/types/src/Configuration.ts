/**
 * The operators' configuration, as every entry VM applies it.
 */
import type ClientBlock from './ClientBlock.js';
import type FailureDomain from './FailureDomain.js';
import type Link from './Link.js';
import type Region from './Region.js';
import type Selector from './Selector.js';
import type Service from './Service.js';
import type Target from './Target.js';

/** A whole, checked configuration. */
interface Configuration {
  /** Version of this format. */
  readonly version: 1;
  readonly regions: readonly Region[];
  readonly failureDomains: readonly FailureDomain[];
  readonly links: readonly Link[];
  readonly services: readonly Service[];
  readonly targets: readonly Target[];
  readonly selectors: readonly Selector[];
  readonly clientBlocks: readonly ClientBlock[];
  /** How long callers may cache an answer to a look-up, in seconds. */
  readonly entriesMaxAgeSeconds: number;
  /** Highest number of entry VMs that may run at once; link shares are split by it. */
  readonly maxEntryVms: number;
}

export default Configuration;
