/** Formats the fields of a log line as ` name=value` pairs; values other than strings as JSON. */
export function formatFields(fields: Record<string, unknown> | undefined): string {
  if (fields === undefined) return '';
  let text = '';
  for (const [name, value] of Object.entries(fields)) {
    text += ` ${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`;
  }
  return text;
}
