/**
 * Schemas of the gateway's responses; unused fields are ignored.
 */
import { z } from 'zod';

/** 64-bit numbers are sent as decimal text; zero, false and empty fields are omitted. */
const Int64 = z.coerce.number().int().default(0);
const Header = z.object({ revision: Int64 });
const KeyValue = z.object({ key: z.string(), value: z.string().default(''), mod_revision: Int64 });
const Event = z.object({ type: z.string().default('PUT'), kv: KeyValue });

/** One schema per call. */
const GATEWAY_RESPONSE_SCHEMAS = {
  range: z.object({ header: Header, kvs: z.array(KeyValue).default([]) }),
  transaction: z.object({ header: Header, succeeded: z.boolean().default(false) }),
  grant: z.object({ ID: z.string() }),
  keepAlive: z.object({ result: z.object({ TTL: Int64 }) }),
  revoke: z.object({}),
  watch: z.object({
    result: z.object({
      canceled: z.boolean().default(false),
      compact_revision: Int64,
      events: z.array(Event).default([]),
    }),
  }),
} as const;

export default GATEWAY_RESPONSE_SCHEMAS;
