/**
 * The audit trail of the system's own decisions, kept in a bounded ring in the store.
 */
import * as E from 'fp-ts/lib/Either.js';
import { isSome } from 'fp-ts/lib/Option.js';
import { Counter, type Registry } from 'prom-client';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import type Store from '@burdockcove/store/Store';
import type AuditRecord from '@burdockcove/types/AuditRecord';
import type AuditSink from '@burdockcove/types/AuditSink';
import type StoreError from '@burdockcove/types/StoreError';
import AUDIT_HEAD_KEY from './AUDIT_HEAD_KEY.js';
import type AuditBatch from './AuditBatch.js';
import getAuditSlotKey from './getAuditSlotKey.js';

/** Least time between two writes of one VM, in milliseconds. */
const WRITE_INTERVAL_MS = 2_000;
const MAX_BUFFERED = 1_000;
const MAX_BATCH_RECORDS = 64;
const MAX_BATCH_CHARACTERS = 16_384;

interface PendingBatch {
  readonly id: string;
  readonly records: readonly AuditRecord[];
}

/** Decisions wait in a bounded buffer while the store is down; the oldest are dropped and counted. */
export default class StoreAuditTrail implements AuditSink, Child {
  readonly name = 'audit';

  private buffer: readonly AuditRecord[] = [];

  private pending: PendingBatch | undefined;

  private batches = 0;

  private readonly dropped: Counter;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly store: Store,
    /** `IP:PORT` of this VM. */
    private readonly writer: string,
    registry: Registry,
  ) {
    this.dropped = new Counter({
      name: 'burdockcove_audit_dropped_total',
      help: 'Decisions dropped because the audit trail could not be written in time',
      registers: [registry],
    });
  }

  recordDecision(record: AuditRecord): void {
    const buffer = [...this.buffer, record];
    const excess = Math.max(0, buffer.length - MAX_BUFFERED);
    this.dropped.inc(excess);
    this.buffer = buffer.slice(excess);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const jitter = 1 + this.random.nextFloat() / 4;
      await waitFor(this.clock, WRITE_INTERVAL_MS * jitter, signal);
      await this.writeOnce();
    }
  }

  private async writeOnce(): Promise<void> {
    this.pending ??= this.takeBatch();
    if (this.pending === undefined) {
      return;
    }
    const written = await this.writeBatch(this.pending);
    if (E.isLeft(written)) {
      this.logger.warn('audit trail not written', { ...written.left });
    } else if (written.right) {
      this.pending = undefined;
    }
  }

  private takeBatch(): PendingBatch | undefined {
    let characters = 0;
    const fits = (record: AuditRecord, index: number): boolean => {
      characters += JSON.stringify(record).length;
      return index === 0 || (index < MAX_BATCH_RECORDS && characters <= MAX_BATCH_CHARACTERS);
    };
    const cut = this.buffer.findIndex((record, index) => !fits(record, index));
    const records = cut === -1 ? this.buffer : this.buffer.slice(0, cut);
    if (records.length === 0) {
      return undefined;
    }
    this.buffer = this.buffer.slice(records.length);
    this.batches += 1;
    const id = `${this.writer}/${this.clock.getWallMs()}/${this.batches}`;
    return { id, records };
  }

  /** False where another writer took the slot first; the same batch is tried again later. */
  private async writeBatch(pending: PendingBatch): Promise<E.Either<StoreError, boolean>> {
    const head = await this.store.readKey(AUDIT_HEAD_KEY)();
    if (E.isLeft(head)) {
      return head;
    }
    const sequence = isSome(head.right) ? Number(head.right.value.value) : 0;
    const headRevision = isSome(head.right) ? head.right.value.revision : 0;
    const batch: AuditBatch = { version: 1, ...pending, sequence };
    const committed = await this.store.commitTransaction({
      compares: [{ key: AUDIT_HEAD_KEY, revision: headRevision }],
      puts: [
        { key: AUDIT_HEAD_KEY, value: String(sequence + 1) },
        { key: getAuditSlotKey(sequence), value: JSON.stringify(batch) },
      ],
      deletes: [],
    })();
    return E.map(({ committed: done }: { readonly committed: boolean }) => done)(committed);
  }
}
