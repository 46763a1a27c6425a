/**
 * A service: a set of targets that answer the same requests.
 */
import type Objective from './Objective.js';
import type Operation from './Operation.js';
import type ServiceMatch from './ServiceMatch.js';

/** One service as the operators configure it. */
interface Service {
  readonly name: string;
  readonly match: readonly ServiceMatch[];
  readonly objective: Objective;
  /** Each completed request is billed, so no request is hedged. */
  readonly billed: boolean;
  readonly operations: readonly Operation[];
  /** Longest time a request may take in all; also used where the caller names no deadline, in milliseconds. */
  readonly deadlineMs: number;
  /** Request header that names the Member for fair sharing; absent: the caller's address. */
  readonly memberHeader?: string;
  /** Requests of this service one entry VM works on or queues at once. */
  readonly maxRequestsPerVm: number;
  /** Requests of this service that may wait in one entry VM's queue. */
  readonly maxQueuePerVm: number;
  /** Retries as a share of first attempts, 0 to 1. */
  readonly retryBudget: number;
  /** Connections each target accepts from all entry VMs together. */
  readonly connectionsPerTarget: number;
  /** Typical size of an answer on the wire, in bytes, charged to a link before the answer is known. */
  readonly expectedAnswerBytes: number;
  /** Time within which an answer is worth most to the caller, in milliseconds. */
  readonly targetLatencyMs?: number;
  /** Rank under overload, 0 the most urgent. */
  readonly priority?: number;
  /** Largest body of a request, in bytes. */
  readonly maxBodyBytes?: number;
  /** Targets that one request may be sent to. */
  readonly maxAttempts?: number;
}

export default Service;
