/**
 * The notice of a target that says nothing of itself.
 */
import type TargetNotice from './TargetNotice.js';

/** The target neither leaves nor asks for a pause. */
const NO_NOTICE: TargetNotice = { isLeaving: false, pauseMs: 0 };

export default NO_NOTICE;
