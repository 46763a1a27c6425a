/**
 * An entry VM as a simulation sees it.
 */
import type RequestOutcome from './RequestOutcome.js';

/** Sends one request and says what came of it. */
interface Sender {
  sendRequest(member: string, deadlineAtMs: number): Promise<RequestOutcome>;
}

export default Sender;
