/**
 * What the admin server shows.
 */
import type { Registry } from 'prom-client';
import type Logger from '@burdockcove/runtime/Logger';
import type SteeringSource from '@burdockcove/steering/SteeringSource';
import type ChoiceDescriber from './ChoiceDescriber.js';
import type ReadinessCheck from './ReadinessCheck.js';
import type StatusSection from './StatusSection.js';

/** Parts that come from the rest of the process. */
interface AdminParts {
  readonly ip: string;
  readonly port: number;
  readonly logger: Logger;
  readonly registry: Registry;
  readonly steering: SteeringSource;
  readonly checks: readonly ReadinessCheck[];
  /** Shown beside the revision by `GET /status`: age, members, shares, shifts. */
  readonly sections: readonly StatusSection[];
  /** Tells what the choice knows of each target; absent where nothing keeps evidence. */
  readonly describer?: ChoiceDescriber;
}

export default AdminParts;
