/**
 * Shape of the stored envelope.
 */
import { z } from 'zod';
import buildConfigurationSchema from '../buildConfigurationSchema.js';

const MAX_REVISION = Number.MAX_SAFE_INTEGER;
const revision = z.number().int().min(0).max(MAX_REVISION);

/** Unknown fields are dropped here and kept in the raw value. */
const storedSchema = z.object({
  version: z.literal(1),
  revision,
  changeId: z.string(),
  operator: z.string(),
  reason: z.string(),
  baseRevision: revision,
  acceptedAt: z.string(),
  configuration: buildConfigurationSchema(z.object),
});

export default storedSchema;
