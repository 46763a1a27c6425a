/**
 * What an answer tells the caller.
 */
import type CallerOutcome from './CallerOutcome.js';

/** Compares the answer with the request's id, so that another caller's answer is noticed. */
export default function readOutcome(
  id: string,
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
  text: string,
): Pick<CallerOutcome, 'told' | 'status' | 'target'> {
  const outcome = headers['burdockcove-outcome'];
  if (outcome === 'not-run' || outcome === 'unknown') {
    return { told: outcome, status, target: '' };
  }
  if (status !== 200) {
    return { told: 'refused', status, target: '' };
  }
  const answer = JSON.parse(text) as { readonly id: string; readonly target: string };
  return { told: answer.id === id ? 'answered' : 'wrong', status, target: answer.target };
}
