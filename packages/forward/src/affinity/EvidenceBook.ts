/**
 * What this VM has seen of targets and of the usual time of requests.
 */
import type TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import type Clock from '@burdockcove/runtime/Clock';
import type Target from '@burdockcove/types/Target';
import type ChoiceRequest from '../ChoiceRequest.js';
import PoolLatency from './PoolLatency.js';
import TargetEvidence from './TargetEvidence.js';

const DEFAULT_LATENCY_MS = 500;
/** Usual time as a share of the time within which an answer is worth most, before anything was measured. */
const FIRST_GUESS_SHARE = 0.5;
/** Targets remembered before those that are gone are forgotten. */
const MAX_EVIDENCE = 4096;

/** One entry a target, and one a rule and service. */
export default class EvidenceBook {
  private readonly evidence = new Map<string, TargetEvidence>();

  private readonly latencies = new Map<string, PoolLatency>();

  constructor(
    private readonly clock: Clock,
    private readonly catalogue: TargetCatalogue,
  ) {}

  getEvidence({ name, slots }: Target): TargetEvidence {
    const known = this.evidence.get(name);
    if (known !== undefined) {
      return known;
    }
    if (this.evidence.size >= MAX_EVIDENCE) {
      this.forgetGone();
    }
    const evidence = new TargetEvidence(this.clock, slots);
    this.evidence.set(name, evidence);
    return evidence;
  }

  /** The usual time of requests like this one. */
  getLatency({ service, plan }: Pick<ChoiceRequest, 'service' | 'plan'>): PoolLatency {
    const key = `${plan.targetService} ${service.name}`;
    const known = this.latencies.get(key);
    if (known !== undefined) {
      return known;
    }
    const aimMs = service.targetLatencyMs ?? DEFAULT_LATENCY_MS;
    const latency = new PoolLatency(aimMs * FIRST_GUESS_SHARE);
    this.latencies.set(key, latency);
    return latency;
  }

  private forgetGone(): void {
    [...this.evidence.keys()]
      .filter((name) => this.catalogue.findUsable(name) === undefined)
      .forEach((name) => this.evidence.delete(name));
  }
}
