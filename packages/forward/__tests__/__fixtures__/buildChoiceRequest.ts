/**
 * Builds requests for tests of target choosers.
 */
import type ChoiceRequest from '../../src/ChoiceRequest.js';
import SERVICE from './SERVICE.js';

/** Builds a request for a service `desk` that is sent at `nowMs`; `changes` overrides fields. */
export default function buildChoiceRequest(
  nowMs: number,
  deadlineMs: number,
  changes: Partial<ChoiceRequest> = {},
): ChoiceRequest {
  return {
    service: SERVICE,
    semantics: 'repeatable',
    plan: {
      selector: '',
      clientRegion: '',
      routeIndex: 0,
      targetService: 'desk',
      regions: [],
    },
    member: 'm',
    firstRequestedAtMs: nowMs,
    deadlineAtMs: nowMs + deadlineMs,
    tried: [],
    signal: new AbortController().signal,
    ...changes,
  };
}
