/**
 * The assembled request path.
 */
import type SlotTargetChooser from '@burdockcove/forward/choice/SlotTargetChooser';
import type CallerServer from '@burdockcove/forward/ingress/CallerServer';
import type LoadPoller from '@burdockcove/forward/health/LoadPoller';

/** Children for the supervisor, and what the admin address shows. */
interface RequestPath {
  readonly server: CallerServer;
  readonly loads: LoadPoller;
  readonly chooser: SlotTargetChooser;
}

export default RequestPath;
