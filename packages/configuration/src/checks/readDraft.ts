/**
 * Reading of whatever is well formed in a configuration.
 */
import { z } from 'zod';
import type buildConfigurationSchema from '../buildConfigurationSchema.js';
import type ConfigurationDraft from './ConfigurationDraft.js';
import type DraftItem from './DraftItem.js';

type Schema = ReturnType<typeof buildConfigurationSchema>;

function listRaw(value: unknown, key: string): readonly unknown[] {
  const list = (value as Readonly<Record<string, unknown>> | null)?.[key];
  return Array.isArray(list) ? list : [];
}

function readItems<Item>(schema: z.ZodType<Item>, raw: readonly unknown[]): DraftItem<Item>[] {
  return raw.flatMap((value, index) => {
    const parsed = schema.safeParse(value);
    return parsed.success ? [{ index, item: parsed.data }] : [];
  });
}

function listNames(raw: readonly unknown[]): readonly string[] {
  return raw.map((value) => {
    const name = (value as { name?: unknown } | null)?.name;
    return typeof name === 'string' ? name : '';
  });
}

/** Reads item by item. */
export default function readDraft(value: unknown, schema: Schema): ConfigurationDraft {
  const { shape } = schema;
  const keys = ['regions', 'failureDomains', 'links', 'services', 'targets', 'selectors'] as const;
  const lists = {
    regions: readItems(shape.regions.element, listRaw(value, 'regions')),
    failureDomains: readItems(shape.failureDomains.element, listRaw(value, 'failureDomains')),
    links: readItems(shape.links.unwrap().element, listRaw(value, 'links')),
    services: readItems(shape.services.element, listRaw(value, 'services')),
    targets: readItems(shape.targets.element, listRaw(value, 'targets')),
    selectors: readItems(shape.selectors.unwrap().element, listRaw(value, 'selectors')),
    clientBlocks: readItems(shape.clientBlocks.unwrap().element, listRaw(value, 'clientBlocks')),
  };
  return {
    ...lists,
    names: {
      regions: listNames(listRaw(value, 'regions')),
      failureDomains: listNames(listRaw(value, 'failureDomains')),
      services: listNames(listRaw(value, 'services')),
      targets: listNames(listRaw(value, 'targets')),
      selectors: listNames(listRaw(value, 'selectors')),
    },
    isWhole: keys.every((key) => lists[key].length === listRaw(value, key).length),
  };
}
