/**
 * A block of client addresses and where those clients are.
 */

/** An IPv4 block in CIDR notation and its region. */
interface ClientBlock {
  readonly cidr: string;
  readonly region: string;
}

export default ClientBlock;
