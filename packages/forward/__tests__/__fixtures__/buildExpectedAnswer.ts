/**
 * Response of a fake target.
 */
import { createHash } from 'node:crypto';

const LARGE_BYTES = 200_000;

/** Returns the body of the target's response to a request. */
function buildExpectedAnswer(id: string, body: Buffer, large = false): string {
  const digest = createHash('sha256').update(body).digest('hex');
  return `${id} ${digest} ${large ? 'x'.repeat(LARGE_BYTES) : ''}`;
}

export default buildExpectedAnswer;
