/**
 * Schema of URLs.
 */
import { z } from 'zod';

const ERROR = 'a URL that starts with http:// or https://';

/** An absolute HTTP URL. */
const urlField = z
  .string({ error: ERROR })
  .refine((text) => URL.canParse(text) && /^https?:\/\//.test(text), { error: ERROR });

export default urlField;
