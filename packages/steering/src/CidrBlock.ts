/**
 * An IPv4 block in numeric form.
 */

/** `first` is the lowest address as an unsigned 32-bit number. */
interface CidrBlock {
  readonly first: number;
  /** Length of the common prefix in bits, 0 to 32. */
  readonly prefixLength: number;
}

export default CidrBlock;
