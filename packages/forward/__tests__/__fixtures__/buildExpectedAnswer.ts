/**
 * The answer that a scripted target gives.
 */
import { createHash } from 'node:crypto';

const LARGE_BYTES = 200_000;

/** The body that the target gives to a request. */
function buildExpectedAnswer(id: string, body: Buffer, large = false): string {
  const digest = createHash('sha256').update(body).digest('hex');
  return `${id} ${digest} ${large ? 'x'.repeat(LARGE_BYTES) : ''}`;
}

export default buildExpectedAnswer;
