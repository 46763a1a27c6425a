/**
 * Requests for tests of choice.
 */
import type ChoiceRequest from '../../src/ChoiceRequest.js';
import SERVICE from './SERVICE.js';

/** A request of a service `desk` that came just now; `changes` replace fields. */
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
