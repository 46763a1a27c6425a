/**
 * One call of the etcd v3 JSON gateway.
 */
import type { ZodType } from 'zod';

/** What to send and how to judge the answer. */
interface GatewayCall<A> {
  readonly step: string;
  readonly path: string;
  readonly body: unknown;
  readonly responseSchema: ZodType<A>;
  /** A call that changes the store; its loss after sending leaves the outcome unknown. */
  readonly isWrite: boolean;
}

export default GatewayCall;
