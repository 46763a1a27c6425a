/**
 * Judgement of a shift's step by what callers were told over the fleet.
 */
import { createClient } from '@connectrpc/connect';
import { isNone } from 'fp-ts/lib/Option.js';
import { EvidenceService } from '@burdockcove/protocol/gen/burdockcove/v1/evidence_pb';
import type PeerTransports from '@burdockcove/protocol/PeerTransports';
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import type StepEvaluator from '@burdockcove/shares/shift/StepEvaluator';
import type StepEvaluation from '@burdockcove/shares/shift/StepEvaluation';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type Member from '@burdockcove/types/Member';
import type Membership from '@burdockcove/types/Membership';
import EVIDENCE_MESSAGE_MAJOR from './EVIDENCE_MESSAGE_MAJOR.js';
import type OutcomeCounts from './OutcomeCounts.js';
import type OutcomeWindow from './OutcomeWindow.js';

/** Entry VMs asked at most; a larger fleet is sampled. */
const MAX_ASKED = 64;
const CALL_TIMEOUT_MS = 1000;
/** Share of requests that may fail, or be refused, before a shift is held. */
const MAX_HARMED_SHARE = 0.02;

function addCounts(a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts {
  return {
    answered: a.answered + b.answered,
    failed: a.failed + b.failed,
    refused: a.refused + b.refused,
  };
}

/** Sums the outcomes of this VM and of its peers since the step was in force. */
export default class FleetStepEvidence implements StepEvaluator {
  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly window: OutcomeWindow,
    private readonly configuration: ConfigurationSource,
    private readonly membership: Membership,
    private readonly transports: PeerTransports,
  ) {}

  async evaluateStep(selector: string, sinceMs: number): Promise<StepEvaluation> {
    const service = this.findService(selector);
    const withinMs = Math.max(0, Math.round(this.clock.getMonotonicMs() - sinceMs));
    const asked = this.pickPeers();
    const answers = await Promise.all(asked.map((peer) => this.askPeer(peer, service, withinMs)));
    const heard = answers.filter((answer) => answer !== undefined);
    const own = this.window.sumOutcomes(service, withinMs);
    return FleetStepEvidence.judgeCounts(heard.reduce(addCounts, own), heard.length + 1);
  }

  private static judgeCounts(counts: OutcomeCounts, vms: number): StepEvaluation {
    const total = counts.answered + counts.failed + counts.refused;
    const words = `${counts.answered} answered, ${counts.failed} failed, ${counts.refused} refused at ${vms} entry VMs`;
    if (total === 0) {
      return { _tag: 'Unknown', detail: `no requests seen: ${words}` };
    }
    const limit = total * MAX_HARMED_SHARE;
    const isHarmful = counts.failed > limit || counts.refused > limit;
    return { _tag: isHarmful ? 'NearLimit' : 'Clear', detail: words };
  }

  private findService(selector: string): string {
    const current = this.configuration.getCurrent();
    if (isNone(current)) {
      return '';
    }
    const { selectors } = current.value.configuration;
    return selectors.find(({ name }) => name === selector)?.service ?? '';
  }

  private pickPeers(): readonly Member[] {
    const self = this.membership.getSelf().address;
    const peers = this.membership
      .getMembers()
      .filter(({ address, reachable }) => reachable && address !== self);
    const drawn = peers.map((peer) => ({ peer, order: this.random.nextFloat() }));
    drawn.sort((a, b) => a.order - b.order);
    return drawn.slice(0, MAX_ASKED).map(({ peer }) => peer);
  }

  private async askPeer(
    peer: Member,
    service: string,
    withinMs: number,
  ): Promise<OutcomeCounts | undefined> {
    const client = createClient(EvidenceService, this.transports.getTransport(peer.peerAddress));
    const request = { version: { major: EVIDENCE_MESSAGE_MAJOR }, service, withinMs };
    try {
      return await client.readOutcomes(request, { timeoutMs: CALL_TIMEOUT_MS });
    } catch {
      return undefined;
    }
  }
}
