/**
 * Asks other entry VMs at the start of this one for entries that the store has lost.
 *
 * A store that has returned from a snapshot may show an older entry until its author writes it again. VMs that run go by
 * the newer one, which they remember; one that starts takes what the store has, unless it asks them first.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import type MemberTable from './MemberTable.js';
import type PeerStateReader from './PeerStateReader.js';
import type StateReplica from './StateReplica.js';

const STEP = 'ask other entry VMs at the start';
/** Two round trips between regions and a busy VM; one that is gone delays the start by no more. */
const ANSWER_LIMIT_MS = 300;
/** How often a VM that starts looks whether it has a state; this makes no call. */
const STATE_INTERVAL_MS = 20;
/** More than one, since some may have started after the return themselves. */
const MAX_ASKED = 6;

interface StartCheckDependencies {
  readonly replica: StateReplica;
  readonly members: MemberTable;
  readonly reader: PeerStateReader;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Called once, when all have answered or the time is over. */
  readonly onDone: () => void;
}

/** Waits for the first state from the store, asks once, and then does nothing. */
export default class StartCheck implements Child {
  readonly name = 'start-check';

  private isDone = false;

  constructor(private readonly dependencies: StartCheckDependencies) {}

  async run(signal: AbortSignal): Promise<void> {
    const { clock, replica, onDone } = this.dependencies;
    while (!signal.aborted && !this.isDone) {
      if (replica.revision < 0) {
        await waitFor(clock, STATE_INTERVAL_MS, signal);
      } else {
        this.isDone = true;
        await this.askMembers().finally(onDone);
      }
    }
    await new Promise<void>((resolve) => {
      if (signal.aborted) {
        resolve();
      }
      signal.addEventListener('abort', () => resolve(), { once: true });
    });
  }

  /** Resolves when all that are asked have answered, or their time is over. */
  private async askMembers(): Promise<void> {
    const { clock, logger } = this.dependencies;
    const addresses = this.listAddresses();
    const startedAtMs = clock.getMonotonicMs();
    const answers = await Promise.all(addresses.map((address) => this.ask(address)));
    logger.info('asked other entry VMs for entries that the store may have lost', {
      step: STEP,
      asked: addresses.length,
      answered: answers.filter(Boolean).length,
      durationMs: Math.round(clock.getMonotonicMs() - startedAtMs),
    });
  }

  /** Resolves with whether the VM has answered. */
  private async ask(address: string): Promise<boolean> {
    const { reader, replica } = this.dependencies;
    const { revision, era } = replica;
    const read = await reader.readState(address, revision, ANSWER_LIMIT_MS, era)();
    if (isRight(read)) {
      replica.applyKept(read.right);
    }
    return isRight(read);
  }

  /** Returns addresses in as many failure domains as there are, since the VMs of one are often replaced together. */
  private listAddresses(): readonly string[] {
    const { members, random } = this.dependencies;
    const counts = new Map<string, number>();
    return members
      .listMembers()
      .filter(({ name }) => name !== members.self.name)
      .map((member) => ({ member, rank: random.nextFloat() }))
      .sort((a, b) => a.rank - b.rank)
      .flatMap(({ member: { stateAddress: address, failureDomain } }) => {
        const place = counts.get(failureDomain) ?? 0;
        counts.set(failureDomain, place + 1);
        return address === undefined ? [] : [{ address, place }];
      })
      .sort((a, b) => a.place - b.place)
      .slice(0, MAX_ASKED)
      .map(({ address }) => address);
  }
}
