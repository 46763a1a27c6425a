/**
 * What entry VMs tell each other about one of them.
 */
import type { UnknownField } from '@bufbuild/protobuf';
import type MemberHealth from './MemberHealth.js';

/** Ordered by incarnation, then by health: the VM itself raises its incarnation to contradict what others say of it. */
interface MemberRecord {
  readonly address: string;
  readonly peerAddress: string;
  readonly failureDomain: string;
  /** Empty until the VM itself or the configuration has named it. */
  readonly region: string;
  /** Zero for a VM known from the VM list only. */
  readonly incarnation: number;
  readonly leaving: boolean;
  readonly health: MemberHealth;
  /** Fields of a newer version, told on unchanged. */
  readonly unknown?: readonly UnknownField[];
}

export default MemberRecord;
