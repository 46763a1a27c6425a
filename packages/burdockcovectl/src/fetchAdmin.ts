/**
 * Reading of entry VMs' admin addresses.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { getGlobalDispatcher, request } from 'undici';
import refuseInvalidHeads from '@burdockcove/runtime/refuseInvalidHeads';
import type CtlFailure from './errors/CtlFailure.js';

const TIMEOUT_MS = 3_000;
const OK = 200;

/** The JSON answer, or a refusal with the VM's own words. */
export default async function fetchAdmin(
  address: string,
  path: string,
): Promise<Either<CtlFailure, unknown>> {
  const refuse = (detail: string): Either<CtlFailure, unknown> =>
    left({ _tag: 'Refused', step: `ask ${path}`, peer: address, detail, lines: [] });
  try {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const dispatcher = getGlobalDispatcher().compose(refuseInvalidHeads);
    const { statusCode, body } = await request(`http://${address}${path}`, { signal, dispatcher });
    const answer = (await body.json()) as { readonly detail?: string };
    return statusCode === OK ? right(answer) : refuse(answer.detail ?? `status ${statusCode}`);
  } catch (error) {
    return refuse(String(error));
  }
}
