/**
 * Answer to `GET /explain`.
 */
import { isNone } from 'fp-ts/lib/Option.js';
import explainRoute from '@burdockcove/steering/explainRoute';
import formatExplanation from '@burdockcove/steering/formatExplanation';
import type AdminAnswer from './AdminAnswer.js';
import type AdminParts from './AdminParts.js';
import buildJsonAnswer from './buildJsonAnswer.js';
import formatChoice from './formatChoice.js';

const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

function refuse(status: number, detail: string): AdminAnswer {
  return buildJsonAnswer(status, { type: 'about:blank', status, detail });
}

/** In words and as data: selector, share, what was ruled out and why, and what the choice knows. */
export default function buildExplainAnswer(
  { steering, describer }: AdminParts,
  query: URLSearchParams,
): AdminAnswer {
  const service = query.get('service');
  const client = query.get('client');
  if (service === null || client === null) {
    return refuse(BAD_REQUEST, 'explain needs ?service=NAME&client=IP');
  }
  const current = steering.getCurrent();
  if (isNone(current)) {
    return refuse(UNAVAILABLE, 'no configuration has arrived yet');
  }
  const explanation = explainRoute(current.value, service, client);
  if (isNone(explanation)) {
    return refuse(NOT_FOUND, `the configuration has no service ${JSON.stringify(service)}`);
  }
  const known = current.value.index.services.findByName(service);
  const plans = current.value.listPlans(service, explanation.value.clientRegion);
  const choice =
    describer === undefined || isNone(known)
      ? []
      : plans.map((plan) => describer.describeChoice(known.value, plan));
  const words = [...formatExplanation(explanation.value), ...choice.flatMap(formatChoice)];
  return buildJsonAnswer(OK, { words, ...explanation.value, choice });
}
