/**
 * Look-ups of entry VMs over HTTP.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { isIP } from 'node:net';
import { isLeft } from 'fp-ts/lib/Either.js';
import sendProblem from '../exchange/sendProblem.js';
import makeNotRun from '../makeNotRun.js';
import type EntriesHandler from './EntriesHandler.js';

const STEP = 'look-up';
const METHOD_NOT_ALLOWED_STATUS = 405;
const PARAMETERS: ReadonlySet<string> = new Set(['service', 'client']);
const IPV4 = 4;

/** Returns what is wrong with the parameters, or an empty text. */
function checkParameters(parameters: URLSearchParams): string {
  for (const name of parameters.keys()) {
    if (!PARAMETERS.has(name)) {
      return `unknown parameter '${name.slice(0, 40)}'`;
    }
    if (parameters.getAll(name).length > 1) {
      return `parameter '${name}' is given more than once`;
    }
  }
  const client = parameters.get('client');
  if (client !== null && isIP(client) !== IPV4) {
    return "parameter 'client' must be an IPv4 address";
  }
  return parameters.get('service') ? '' : "parameter 'service' is missing";
}

/** Responds to `GET /_burdockcove/entries` with JSON or a problem document. */
export default function handleEntriesRequest(
  handler: EntriesHandler,
  request: IncomingMessage,
  response: ServerResponse,
  query: string,
  peer: string,
): void {
  if (request.method !== 'GET' && request.method !== 'HEAD') {
    response.setHeader('Allow', 'GET, HEAD');
    const failure = makeNotRun('malformed', STEP, peer, 'look-ups are made with GET');
    sendProblem(response, failure, METHOD_NOT_ALLOWED_STATUS);
    return;
  }
  const parameters = new URLSearchParams(query);
  const fault = checkParameters(parameters);
  if (fault !== '') {
    sendProblem(response, makeNotRun('malformed', STEP, peer, fault));
    return;
  }
  const client = parameters.get('client') ?? peer;
  const answer = handler.listEntries(parameters.get('service') ?? '', client);
  if (isLeft(answer)) {
    sendProblem(response, answer.left);
    return;
  }
  const { body, maxAgeSeconds } = answer.right;
  response.writeHead(200, {
    'Content-Type': 'application/json',
    'Content-Length': body.length,
    'Cache-Control': `max-age=${maxAgeSeconds}`,
  });
  response.end(body);
}
