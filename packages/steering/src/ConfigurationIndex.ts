/**
 * Lookup structures of one configuration revision for the request path.
 */
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type Configuration from '@burdockcove/types/Configuration';
import type Selector from '@burdockcove/types/Selector';
import ClientBlockTable from './ClientBlockTable.js';
import type LabelledTarget from './LabelledTarget.js';
import listLabelledTargets from './listLabelledTargets.js';
import RegionDelays from './RegionDelays.js';
import ServiceIndex from './ServiceIndex.js';

/** Built once per revision and reused across membership changes and shift steps. */
export default class ConfigurationIndex {
  readonly revision: number;

  readonly configuration: Configuration;

  readonly services: ServiceIndex;

  readonly clientBlocks: ClientBlockTable;

  readonly delays: RegionDelays;

  private readonly targets: ReadonlyMap<string, readonly LabelledTarget[]>;

  constructor(accepted: AcceptedConfiguration) {
    const { configuration } = accepted;
    this.revision = accepted.revision;
    this.configuration = configuration;
    this.services = new ServiceIndex(configuration.services);
    this.clientBlocks = ClientBlockTable.fromBlocks(configuration.clientBlocks);
    this.delays = new RegionDelays(configuration.links);
    const targets = listLabelledTargets(configuration);
    this.targets = new Map(
      configuration.services.map(({ name }) => [
        name,
        targets.filter(({ target }) => target.service === name),
      ]),
    );
  }

  listTargets(service: string): readonly LabelledTarget[] {
    return this.targets.get(service) ?? [];
  }

  /** Returns the first matching selector, or undefined. */
  findSelector(service: string, clientRegion: string): Selector | undefined {
    return this.configuration.selectors.find(
      (selector) =>
        selector.service === service &&
        (selector.clientRegions.length === 0 || selector.clientRegions.includes(clientRegion)),
    );
  }
}
