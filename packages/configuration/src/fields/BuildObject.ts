/**
 * How objects of a schema treat keys that they do not know.
 */
import type { z } from 'zod';

/** `z.strictObject` refuses unknown keys, `z.object` drops them. */
type BuildObject = <Shape extends z.core.$ZodShape>(
  shape: Shape,
  params: { readonly error: string },
) => z.ZodObject<Shape>;

export default BuildObject;
