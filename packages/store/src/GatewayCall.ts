/**
 * A call of the etcd v3 JSON gateway.
 */
import type { ZodType } from 'zod';

/** The request and the schema of the response. */
interface GatewayCall<A> {
  readonly step: string;
  readonly path: string;
  readonly body: unknown;
  readonly responseSchema: ZodType<A>;
  /** Whether the call changes the store; if the response is lost, its outcome is unknown. */
  readonly isWrite: boolean;
}

export default GatewayCall;
