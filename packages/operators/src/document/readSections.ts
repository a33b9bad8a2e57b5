import { parse } from 'ini';
import { Ok, fail, type Failure, type Result } from '@limpetbay/core';

const HEADER = /^\s*\[([^\]]*)\]\s*(?:[;#].*)?$/;
const COMMENT = /^\s*(?:[;#].*)?$/;
const KEY = /^\s*([^=]*[^=\s])\s*=/;
/** A dot that the `ini` package would take for the border of a subsection. */
const BARE_DOT = /(?<!\\)\./g;

/**
 * Reads INI text into sections of text values. The `ini` package keeps the last of two equal keys,
 * joins equal sections, skips lines that it cannot read and does not know a header with a comment
 * behind it, so those are handled here before it reads the rest.
 *
 * @param file name for messages
 * @returns sections in the order of the text, or `invalid_document` with line, section and key
 */
export function readSections(
  text: string,
  file: string,
): Result<Map<string, Map<string, string>>, Failure> {
  const issues: string[] = [];
  const lines: string[] = [];
  const seen = new Map<string, Set<string>>();
  let section: string | null = null;
  for (const [index, line] of text.split(/\r?\n/).entries()) {
    const place = `${file}: line ${index + 1}`;
    const header = HEADER.exec(line)?.[1]?.trim().replaceAll('\\.', '.');
    const key = KEY.exec(line)?.[1];
    if (COMMENT.test(line)) continue;
    if (header !== undefined) {
      if (seen.has(header)) issues.push(`${place}: [${header}]: the section is given twice`);
      seen.set(header, seen.get(header) ?? new Set());
      section = header;
      lines.push(`[${header.replace(BARE_DOT, '\\.')}]`);
    } else if (key === undefined) {
      issues.push(`${place}: '${line.trim()}' is not a line 'key = value'`);
    } else if (section === null) {
      issues.push(`${place}: ${key}: stands before the first section`);
    } else if (seen.get(section)?.has(key)) {
      issues.push(`${place}: [${section}] ${key}: the key is given twice`);
    } else {
      seen.get(section)?.add(key);
      lines.push(line);
    }
  }
  if (issues.length > 0) return fail('invalid_document', issues.join('\n'));
  const parsed = parse(lines.join('\n')) as Record<string, Record<string, unknown>>;
  const sections = new Map<string, Map<string, string>>();
  // The package moves sections whose names hold dots behind the others.
  for (const name of seen.keys()) {
    const entries = Object.entries(parsed[name] ?? {}).map(
      ([key, value]) => [key, String(value)] as const,
    );
    sections.set(name, new Map(entries));
  }
  return Ok(sections);
}
