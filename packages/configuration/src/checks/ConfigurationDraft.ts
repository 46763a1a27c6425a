/**
 * A configuration of which some parts may be faulty.
 */
import type ClientBlock from '@burdockcove/types/ClientBlock';
import type FailureDomain from '@burdockcove/types/FailureDomain';
import type Link from '@burdockcove/types/Link';
import type Region from '@burdockcove/types/Region';
import type Selector from '@burdockcove/types/Selector';
import type Service from '@burdockcove/types/Service';
import type Target from '@burdockcove/types/Target';
import type DraftItem from './DraftItem.js';

/** Holds the items whose shape is right, so that checks go on beside faults of shape. */
interface ConfigurationDraft {
  readonly regions: readonly DraftItem<Region>[];
  readonly failureDomains: readonly DraftItem<FailureDomain>[];
  readonly links: readonly DraftItem<Link>[];
  readonly services: readonly DraftItem<Service>[];
  readonly targets: readonly DraftItem<Target>[];
  readonly selectors: readonly DraftItem<Selector>[];
  readonly clientBlocks: readonly DraftItem<ClientBlock>[];
  /** Names in each list, those of faulty items among them, in the order of the file. */
  readonly names: Readonly<
    Record<'regions' | 'failureDomains' | 'services' | 'targets' | 'selectors', readonly string[]>
  >;
  /** False where an item was left out, so that checks over the whole would mislead. */
  readonly isWhole: boolean;
}

export default ConfigurationDraft;
