/**
 * What the owner of a part grants.
 */

/** `NotOwner`: the VM that was asked does not own the part, or may not grant at present. */
type PortionAnswer =
  | {
      readonly _tag: 'Granted';
      /** Number of requests; 0 if the part is used up. */
      readonly count: number;
      /** How long they may be used, from when they were asked for, in milliseconds. */
      readonly validMs: number;
      /** Milliseconds until the part has room for another request; 0 if all that was wanted is granted. */
      readonly waitMs: number;
    }
  | { readonly _tag: 'NotOwner' };

export default PortionAnswer;
