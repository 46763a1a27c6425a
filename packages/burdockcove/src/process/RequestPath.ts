/**
 * The assembled request path.
 */
import type SlotTargetChooser from '@burdockcove/forward/choice/SlotTargetChooser';
import type CallerServer from '@burdockcove/forward/ingress/CallerServer';
import type LoadPoller from '@burdockcove/forward/health/LoadPoller';
import type StallMonitor from '@burdockcove/runtime/StallMonitor';

/** Children for the supervisor, and what the admin address shows. */
interface RequestPath {
  readonly server: CallerServer;
  readonly loads: LoadPoller;
  readonly chooser: SlotTargetChooser;
  readonly stalls: StallMonitor;
}

export default RequestPath;
