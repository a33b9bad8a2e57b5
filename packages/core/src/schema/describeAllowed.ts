import { z } from 'zod';

interface SchemaNode {
  readonly type?: string;
  readonly enum?: readonly string[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly minLength?: number;
  readonly maxLength?: number;
  readonly minItems?: number;
  readonly maxItems?: number;
  readonly pattern?: string;
  readonly format?: string;
  readonly items?: SchemaNode;
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
}

function describeText(node: SchemaNode): string {
  if (node.enum !== undefined) return node.enum.join(' | ');
  if (node.format === 'uri') return 'http:// URL';
  if (node.pattern !== undefined) return `text that matches ${node.pattern}`;
  const min = node.minLength ?? 0;
  return node.maxLength === undefined
    ? `text of at least ${min} characters`
    : `text of ${min} to ${node.maxLength} characters`;
}

function describeNode(node: SchemaNode): string {
  if (node.type === 'integer') return `whole number from ${node.minimum} to ${node.maximum}`;
  if (node.type === 'number') return `number from ${node.minimum} to ${node.maximum}`;
  if (node.type !== 'array') return describeText(node);
  const items = describeText(node.items ?? {});
  const count = node.minItems === undefined ? '' : `at least ${node.minItems}: `;
  return `list with commas, ${count}${items}`;
}

/**
 * Describes the allowed values of a key of a document or a settings file, derived from its schema.
 *
 * @param path property names from the root of the schema to the key; array items need no element
 * @returns the allowed values and the default as INI text; the default is null for a required key
 */
export function describeAllowed(
  schema: z.ZodType,
  path: readonly string[],
): {
  readonly allowed: string;
  readonly defaultText: string | null;
} {
  let node = z.toJSONSchema(schema, { io: 'input' }) as SchemaNode;
  for (const part of path) node = node.properties?.[part] ?? node.items?.properties?.[part] ?? {};
  const value = node.default;
  const text = Array.isArray(value) ? value.join(', ') : String(value);
  return { allowed: describeNode(node), defaultText: value === undefined ? null : text };
}
