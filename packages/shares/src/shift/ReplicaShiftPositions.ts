/**
 * The route weights in force at one entry VM.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type Route from '@burdockcove/types/Route';
import type ShiftPositions from '@burdockcove/types/ShiftPositions';
import type Replica from '@burdockcove/store/Replica';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import computeRoutes from './computeRoutes.js';
import getShiftKey from './getShiftKey.js';
import parseShiftRecord from './parseShiftRecord.js';

const INITIAL_REVISION = 1;

interface AppliedShift {
  readonly revision: number;
  readonly routes: readonly Route[];
}

/**
 * The selector's shift record determines the weights; a configuration change alone moves no
 * traffic. Without a record, the initial configuration is in force, since no weights preceded it.
 * Under a later configuration all weights are zero, which routes no traffic, until the record
 * arrives.
 */
export default class ReplicaShiftPositions implements ShiftPositions {
  private readonly applied = new Map<string, AppliedShift>();

  private readonly fallbackRoutes = new Map<string, readonly Route[]>();

  private readonly listeners = new Set<() => void>();

  constructor(
    private readonly configuration: ConfigurationSource,
    replica: Replica,
  ) {
    const prefix = getShiftKey('');
    const apply = (entry: StoreEntry): void =>
      this.applyEntry(entry.key.slice(prefix.length), entry);
    replica.listEntries(prefix).forEach(apply);
    replica.subscribe(prefix, apply);
    this.updateFallbackRoutes();
    configuration.subscribe(() => this.updateFallbackRoutes());
  }

  getRoutes(selector: string): readonly Route[] {
    return this.applied.get(selector)?.routes ?? this.fallbackRoutes.get(selector) ?? [];
  }

  /** Store revision of the applied record; zero if none is applied. */
  getAppliedRevision(selector: string): number {
    return this.applied.get(selector)?.revision ?? 0;
  }

  /** Selectors with a shift record. */
  listSelectors(): readonly string[] {
    return [...this.applied.keys()];
  }

  /**
   * Calls the listener after the weights of any selector changed; returns a function that
   * unsubscribes it.
   */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private applyEntry(selector: string, entry: StoreEntry): void {
    const record = parseShiftRecord(entry.value);
    if (!isSome(record) || entry.revision <= this.getAppliedRevision(selector)) {
      return;
    }
    const { from, to, position } = record.value;
    const routes = computeRoutes(from, to, position);
    this.applied.set(selector, { revision: entry.revision, routes });
    this.listeners.forEach((listener) => listener());
  }

  private updateFallbackRoutes(): void {
    const current = this.configuration.getCurrent();
    if (!isSome(current)) {
      return;
    }
    const { selectors } = current.value.configuration;
    const names = new Set(selectors.map(({ name }) => name));
    const isFirst = current.value.revision === INITIAL_REVISION;
    selectors.forEach(({ name, routes }) => {
      const zeroWeightRoutes = routes.map((route) => ({ ...route, weight: 0 }));
      this.fallbackRoutes.set(
        name,
        isFirst ? routes : (this.fallbackRoutes.get(name) ?? zeroWeightRoutes),
      );
    });
    [...this.fallbackRoutes.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.fallbackRoutes.delete(name));
  }
}
