/**
 * Explanation of a request's way, for reading.
 */
import describeReason from './describeReason.js';
import formatCandidate from './formatCandidate.js';
import type RequestExplanation from './RequestExplanation.js';

function list(names: readonly string[]): string {
  return names.length === 0 ? 'none' : names.join(', ');
}

function formatRoute(explanation: RequestExplanation): readonly string[] {
  const { vm, region, revision, route, service, regions, semantics } = explanation;
  const { priority, deadlineMs, goalMs } = explanation;
  const goal = goalMs === undefined ? 'no latency goal' : `latency goal ${goalMs} ms`;
  const rank = priority === undefined ? '' : `rank ${priority}, `;
  return [
    `VM ${vm} in region ${region}, configuration version ${revision}.`,
    `Route ${route} (${semantics}) to service ${service || 'none'}; ${rank}${goal}, deadline ${deadlineMs} ms; regions allowed: ${list(regions)}.`,
  ];
}

function formatKeys({ keys }: RequestExplanation): readonly string[] {
  if (!keys.isNeeded) {
    return ['No key is needed.'];
  }
  const { verifiedAgeMs, maxKnownKeyAgeMs, refusesKnown, refusesUnknownAsStale } = keys;
  const age = verifiedAgeMs === null ? 'never verified' : `verified ${verifiedAgeMs} ms ago`;
  const limit = maxKnownKeyAgeMs === null ? 'no limit' : `limit ${maxKnownKeyAgeMs} ms`;
  const known = refusesKnown ? 'refused with 503 stale-keys' : 'admitted';
  const unknown = refusesKnown || refusesUnknownAsStale ? '503 stale-keys' : '401 unknown-key';
  return [
    `A key is needed. State ${age} (${limit}): requests with a known key are ${known}, others get ${unknown}.`,
  ];
}

function formatCustomer({ customer, keys }: RequestExplanation): readonly string[] {
  if (customer === undefined) {
    return keys.isNeeded
      ? ['No customer was named: what follows holds without limits of its own.']
      : [];
  }
  const { name, priority, homeRegions, hasUnreadableRegions, quota } = customer;
  const regions = hasUnreadableRegions === true ? 'unreadable' : list(homeRegions);
  const rank = priority === undefined ? 'rank of the route' : `rank ${priority}`;
  const limit =
    quota === undefined ? 'no quota' : `quota ${quota.ratePerS}/s and a burst of ${quota.burst}`;
  return [`Customer ${name}: ${rank}, home regions: ${regions}, ${limit}.`];
}

function formatOutcome({ choice, keys }: RequestExplanation): string {
  const condition = keys.refusesKnown ? 'If it were admitted' : 'Now';
  switch (choice.outcome) {
    case 'sent':
      return `${condition}, it would be sent to ${choice.target} at once.`;
    case 'queued':
      return `${condition}, no target may take it at once: it would wait here for one, or get 503 region-full.`;
    case 'not-in-time':
      return `${condition}, no target is expected to respond before the timeout: it would get 503 not-in-time, but for a few probes.`;
    default:
      return `${condition}, no target may take it: it would get 503 no-target.`;
  }
}

function formatCounts(head: string, counts: Readonly<Record<string, number>>): readonly string[] {
  const parts = Object.entries(counts).map(([reason, count]) => `${count} ${reason}`);
  return parts.length === 0 ? [] : [`${head}: ${parts.join(', ')}.`];
}

/** Returns one line for each fact, and for each target. */
export default function formatRequestExplanation(
  explanation: RequestExplanation,
): readonly string[] {
  const { choice } = explanation;
  const { candidates, otherCandidates, notCompared, ruledOut, otherRuledOut } = choice;
  return [
    ...formatRoute(explanation),
    ...formatKeys(explanation),
    ...formatCustomer(explanation),
    formatOutcome(explanation),
    choice.isLearned
      ? 'Estimates come from learned work.'
      : 'Estimates come from mean latencies: no target has reported its pace.',
    ...(choice.isOrderRandom
      ? ['No object was named: the order of preference is one of many.']
      : []),
    ...candidates.map(formatCandidate),
    ...formatCounts('More compared targets', otherCandidates),
    ...(notCompared > 0 ? [`${notCompared} usable targets were not compared.`] : []),
    ...ruledOut.map(
      ({ target, region, reason }) =>
        `Ruled out target ${target} (${region}): ${describeReason(reason)}.`,
    ),
    ...formatCounts('More targets ruled out', otherRuledOut),
  ];
}
