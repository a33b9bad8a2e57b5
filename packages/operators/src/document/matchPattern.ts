/** Tells whether a target name matches a name or a pattern in which `*` stands for any text. */
export function matchPattern(pattern: string, name: string): boolean {
  const parts = pattern.split('*');
  const [first = ''] = parts;
  if (parts.length === 1) return pattern === name;
  if (!name.startsWith(first)) return false;
  let position = first.length;
  const last = parts[parts.length - 1] ?? '';
  for (const part of parts.slice(1, -1)) {
    const found = name.indexOf(part, position);
    if (found < 0) return false;
    position = found + part.length;
  }
  return name.length - last.length >= position && name.endsWith(last);
}
