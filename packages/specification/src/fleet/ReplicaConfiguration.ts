/**
 * The configuration as a virtual replica has it.
 */
import { map, type Option } from 'fp-ts/lib/Option.js';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type VirtualReplica from './VirtualReplica.js';

const KEY = 'state/configuration';

function parseEntry(entry: StoreEntry): AcceptedConfiguration {
  return JSON.parse(entry.value) as AcceptedConfiguration;
}

/** Reads the replica's entry of the configuration. */
export default class ReplicaConfiguration implements ConfigurationSource {
  private current: Option<AcceptedConfiguration>;

  constructor(private readonly replica: VirtualReplica) {
    this.current = map(parseEntry)(replica.getEntry(KEY));
    replica.subscribe(KEY, () => {
      this.current = map(parseEntry)(replica.getEntry(KEY));
    });
  }

  getCurrent(): Option<AcceptedConfiguration> {
    return this.current;
  }

  subscribe(listener: (accepted: AcceptedConfiguration) => void): () => void {
    return this.replica.subscribe(KEY, (entry) => listener(parseEntry(entry)));
  }
}
