/**
 * State of a VM as the platform's list or its own word gives it.
 */

/** `leaving` VMs take no new work. */
type VmState = 'live' | 'leaving';

export default VmState;
