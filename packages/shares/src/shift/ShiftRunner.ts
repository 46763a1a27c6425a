/**
 * Runs the capped shifts of all selectors.
 *
 * Runs at every entry VM but acts only while this VM holds the shift role. The shift record in the
 * store is the only state that a successor needs: it waits for confirmations and for a whole window
 * itself before it takes a step. Each write is fenced by the revisions of the record and of the
 * role's key.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import { isSome, none, some, type Option } from 'fp-ts/lib/Option.js';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type AuditSink from '@burdockcove/types/AuditSink';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type Membership from '@burdockcove/types/Membership';
import type Selector from '@burdockcove/types/Selector';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import buildFence from '@burdockcove/store/buildFence';
import type Replica from '@burdockcove/store/Replica';
import type RoleKeeper from '@burdockcove/store/RoleKeeper';
import type Store from '@burdockcove/store/Store';
import type ShareTiming from '../ShareTiming.js';
import type ShareTransport from '../ShareTransport.js';
import ShiftProgress from './ShiftProgress.js';
import type ShiftRecord from './ShiftRecord.js';
import type StepEvaluator from './StepEvaluator.js';
import advanceShift from './advanceShift.js';
import applyShiftOrder from './applyShiftOrder.js';
import buildInitialShift from './buildInitialShift.js';
import getShiftKey from './getShiftKey.js';
import getShiftOrderKey from './getShiftOrderKey.js';
import parseShiftOrder from './parseShiftOrder.js';
import parseShiftRecord from './parseShiftRecord.js';
import startShift from './startShift.js';
import areRoutesEqual from './areRoutesEqual.js';

/** Minimum time between iterations; a random time of up to the same length is added. */
const POLL_INTERVAL_MS = 250;

/** Advances, holds and rolls back shifts. */
export default class ShiftRunner implements Child {
  readonly name = 'shift-runner';

  private readonly progress = new Map<string, ShiftProgress>();

  private epoch = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly timing: ShareTiming,
    private readonly role: RoleKeeper,
    private readonly membership: Membership,
    private readonly configuration: ConfigurationSource,
    private readonly replica: Replica,
    private readonly store: Store,
    private readonly transport: ShareTransport,
    private readonly evaluator: StepEvaluator,
    private readonly audit: AuditSink,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.runIteration();
      await waitFor(this.clock, POLL_INTERVAL_MS * (1 + this.random.nextFloat()), signal);
    }
  }

  private async runIteration(): Promise<void> {
    const role = this.role.getHeldRole();
    const accepted = this.configuration.getCurrent();
    if (!isSome(role) || !isSome(accepted)) {
      this.progress.clear();
      return;
    }
    if (role.value.epoch !== this.epoch) {
      this.epoch = role.value.epoch;
      this.progress.clear();
    }
    const { selectors } = accepted.value.configuration;
    await Promise.all(selectors.map((selector) => this.runShift(selector, accepted.value)));
  }

  private async runShift(selector: Selector, accepted: AcceptedConfiguration): Promise<void> {
    const entry = this.replica.getEntry(getShiftKey(selector.name));
    if (!isSome(entry)) {
      const at = this.formatNow();
      await this.writeRecord(0, buildInitialShift(selector, accepted.revision, at), 'new selector');
      return;
    }
    const record = parseShiftRecord(entry.value.value);
    if (!isSome(record)) {
      const fields = { step: 'read-shift', peer: entry.value.key, revision: entry.value.revision };
      this.logger.error('shift record cannot be parsed; leaving it unchanged', fields);
      return;
    }
    const { revision } = entry.value;
    const ordered = this.applyOrders(record.value, selector, accepted);
    if (isSome(ordered)) {
      await this.writeRecord(revision, ordered.value, ordered.value.reason);
    } else if (record.value.status === 'moving') {
      await this.advanceOnDecision(revision, record.value, selector);
    }
  }

  /**
   * Returns the record after an operator's order or a change of the configured weights; none if
   * there is neither.
   */
  private applyOrders(
    record: ShiftRecord,
    selector: Selector,
    { revision }: AcceptedConfiguration,
  ): Option<ShiftRecord> {
    const isNewer = revision > record.configurationRevision;
    if (isNewer && !areRoutesEqual(record.ordered, selector.routes)) {
      const started = startShift(record, selector.routes);
      return some({
        ...started,
        ordered: selector.routes,
        origin: started.from,
        direction: 'forward',
        configurationRevision: revision,
        reason: `configuration ${revision} ordered new weights`,
      });
    }
    const entry = this.replica.getEntry(getShiftOrderKey(selector.name));
    const order = isSome(entry) ? parseShiftOrder(entry.value.value) : none;
    return isSome(entry) && isSome(order) && entry.value.revision > record.orderRevision
      ? some(applyShiftOrder(record, order.value, entry.value.revision))
      : none;
  }

  private async advanceOnDecision(
    revision: number,
    record: ShiftRecord,
    selector: Selector,
  ): Promise<void> {
    const decision = await this.getOrCreateProgress(selector.name, revision).decide(selector);
    if (decision._tag === 'Step') {
      const next = advanceShift(record, selector.shift.cap);
      await this.writeRecord(revision, { ...next, reason: decision.detail }, decision.detail);
    } else if (decision._tag === 'Hold') {
      const next: ShiftRecord = { ...record, status: 'held', reason: decision.detail };
      await this.writeRecord(revision, next, decision.detail);
    }
  }

  private getOrCreateProgress(selector: string, revision: number): ShiftProgress {
    const existing = this.progress.get(selector);
    if (existing?.revision === revision) {
      return existing;
    }
    const { clock, timing, membership, transport, evaluator } = this;
    const started = new ShiftProgress(
      clock,
      timing,
      membership,
      transport,
      evaluator,
      selector,
      revision,
    );
    this.progress.set(selector, started);
    return started;
  }

  private async writeRecord(
    revision: number,
    record: ShiftRecord,
    evidence: string,
  ): Promise<void> {
    const role = this.role.getHeldRole();
    if (!isSome(role) || role.value.epoch !== this.epoch) {
      return;
    }
    const { epoch } = role.value;
    const key = getShiftKey(record.selector);
    const value = JSON.stringify({ ...record, epoch, updatedAt: this.formatNow() });
    const commit = await this.store.commitTransaction({
      compares: [{ key, revision }, buildFence(role.value)],
      puts: [{ key, value }],
      deletes: [],
    })();
    if (isLeft(commit) || !commit.right.committed) {
      const fields = { step: 'write-shift', peer: key, revision };
      this.logger.info(
        'shift record was not written; the next iteration starts from the stored record',
        fields,
      );
      return;
    }
    const percent = (record.position * 100).toFixed(1);
    this.audit.recordDecision({
      _tag: 'Decision',
      at: this.formatNow(),
      by: this.membership.getSelf().address,
      what: `shift ${record.selector}: ${record.status} ${record.direction} at ${percent}%`,
      evidence,
      revision: commit.right.revision,
      epoch,
      expected: record.status === 'moving' ? 'errors and headroom stay within limits' : '',
      outcome: '',
    });
  }

  private formatNow(): string {
    return new Date(this.clock.getWallMs()).toISOString();
  }
}
