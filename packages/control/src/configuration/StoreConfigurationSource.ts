/**
 * The configuration in force, read from the replicated state.
 */
import * as E from 'fp-ts/lib/Either.js';
import { isNone, isSome, none, some, type Option } from 'fp-ts/lib/Option.js';
import { Counter, type Registry } from 'prom-client';
import parseStoredConfiguration from '@burdockcove/configuration/stored/parseStoredConfiguration';
import type Logger from '@burdockcove/runtime/Logger';
import type Replica from '@burdockcove/store/Replica';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import registerGauge from '../registerGauge.js';

const CONFIGURATION_KEY = 'state/configuration';

/** A value that cannot be read, or whose revision is not newer, is refused and the one before stays in force. */
export default class StoreConfigurationSource implements ConfigurationSource {
  private current: Option<AcceptedConfiguration> = none;

  private readonly listeners = new Set<(accepted: AcceptedConfiguration) => void>();

  private readonly refused: Counter<'reason'>;

  constructor(
    replica: Replica,
    private readonly logger: Logger,
    registry: Registry,
  ) {
    this.refused = new Counter({
      name: 'burdockcove_configuration_refused_total',
      help: 'Configurations from the store that were refused, by reason',
      labelNames: ['reason'] as const,
      registers: [registry],
    });
    const getRevision = (): number => (isSome(this.current) ? this.current.value.revision : 0);
    registerGauge(
      registry,
      'burdockcove_configuration_revision',
      'Revision of the configuration in force',
      getRevision,
    );
    replica.listEntries(CONFIGURATION_KEY).forEach((entry) => this.applyEntry(entry));
    replica.subscribe(CONFIGURATION_KEY, (entry) => this.applyEntry(entry));
  }

  getCurrent(): Option<AcceptedConfiguration> {
    return this.current;
  }

  subscribe(listener: (accepted: AcceptedConfiguration) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private applyEntry(entry: StoreEntry): void {
    if (entry.value === '') {
      this.refuse('deleted', entry, 'the key was deleted');
      return;
    }
    const parsed = parseStoredConfiguration(entry.value);
    if (E.isLeft(parsed)) {
      this.refuse('unreadable', entry, parsed.left);
      return;
    }
    this.applyConfiguration(parsed.right.accepted, entry);
  }

  private applyConfiguration(accepted: AcceptedConfiguration, entry: StoreEntry): void {
    if (isSome(this.current) && this.current.value.changeId === accepted.changeId) {
      return;
    }
    if (isSome(this.current) && accepted.revision <= this.current.value.revision) {
      const { revision } = this.current.value;
      this.refuse('revision', entry, `revision ${accepted.revision} after ${revision}`);
      return;
    }
    this.logger.info(isNone(this.current) ? 'first configuration' : 'newer configuration', {
      step: 'configuration',
      revision: accepted.revision,
    });
    this.current = some(accepted);
    this.listeners.forEach((listener) => listener(accepted));
  }

  private refuse(reason: string, entry: StoreEntry, detail: string): void {
    this.refused.inc({ reason });
    this.logger.error('configuration refused', {
      step: 'configuration',
      peer: entry.key,
      reason,
      detail,
      storeRevision: entry.revision,
    });
  }
}
