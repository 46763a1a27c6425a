/**
 * Where the ring of audit batches goes on.
 */

/** Its value is the sequence number of the next batch; writers compare its revision. */
const AUDIT_HEAD_KEY = 'audit/head';

export default AUDIT_HEAD_KEY;
