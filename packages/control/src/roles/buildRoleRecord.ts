/**
 * The value of a role's key.
 */

/** JSON that names the holder; the lease's id makes each term's value its own. */
export default function buildRoleRecord(holder: string, leaseId: string): string {
  return JSON.stringify({ version: 1, holder, leaseId });
}
