/**
 * Fields of an item as a flat list.
 */

type Fields = Readonly<Record<string, unknown>>;

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function describeRouteKey(route: unknown): string {
  const { targets } = route as { readonly targets: Readonly<Record<string, string>> };
  const labels = Object.entries(targets).map(([name, value]) => `${name}=${value}`);
  return `route ${labels.sort().join(' ') || 'any target'} weight`;
}

/** Dotted names mapped to values as JSON; each route of a selector is one field, its weight. */
export default function flattenFields(value: Fields, prefix = ''): ReadonlyMap<string, string> {
  const fields = new Map<string, string>();
  Object.entries(value).forEach(([key, each]) => {
    if (key === 'routes' && Array.isArray(each)) {
      each.forEach((route: { readonly weight: number }) => {
        fields.set(describeRouteKey(route), String(route.weight));
      });
    } else if (isFields(each)) {
      flattenFields(each, `${prefix}${key}.`).forEach((text, name) => fields.set(name, text));
    } else if (each !== undefined) {
      fields.set(`${prefix}${key}`, JSON.stringify(each));
    }
  });
  return fields;
}
