import { parse } from 'ini';
import { Ok, fail, type Failure, type Result } from '@limpetbay/core';

const HEADER_LINE = /^\s*\[([^\]]*)\]\s*(?:[;#].*)?$/;
const COMMENT_LINE = /^\s*(?:[;#].*)?$/;
const KEY_LINE = /^\s*([^=]*[^=\s])\s*=/;
/** Matches a dot that the `ini` package would parse as the separator of a subsection. */
const UNESCAPED_DOT = /(?<!\\)\./g;

/**
 * Reads INI text into text values by section and key. The `ini` package keeps the last of two equal
 * keys, merges equal sections, skips malformed lines and does not support a comment after a section
 * header, so these cases are handled here before the package parses the rest.
 *
 * @param file file name for messages
 * @returns sections in the order of the text, or `invalid_document` with line, section and key
 */
export function readSections(
  text: string,
  file: string,
): Result<Map<string, Map<string, string>>, Failure> {
  const issues: string[] = [];
  const lines: string[] = [];
  const keySets = new Map<string, Set<string>>();
  let section: string | null = null;
  for (const [index, line] of text.split(/\r?\n/).entries()) {
    const location = `${file}: line ${index + 1}`;
    const header = HEADER_LINE.exec(line)?.[1]?.trim().replaceAll('\\.', '.');
    const key = KEY_LINE.exec(line)?.[1];
    if (COMMENT_LINE.test(line)) continue;
    if (header !== undefined) {
      if (keySets.has(header)) issues.push(`${location}: [${header}]: the section is given twice`);
      keySets.set(header, keySets.get(header) ?? new Set());
      section = header;
      lines.push(`[${header.replace(UNESCAPED_DOT, '\\.')}]`);
    } else if (key === undefined) {
      issues.push(`${location}: '${line.trim()}' is not of the form 'key = value'`);
    } else if (section === null) {
      issues.push(`${location}: ${key}: the key precedes the first section`);
    } else if (keySets.get(section)?.has(key)) {
      issues.push(`${location}: [${section}] ${key}: the key is given twice`);
    } else {
      keySets.get(section)?.add(key);
      lines.push(line);
    }
  }
  if (issues.length > 0) return fail('invalid_document', issues.join('\n'));
  const parsed = parse(lines.join('\n')) as Record<string, Record<string, unknown>>;
  const sections = new Map<string, Map<string, string>>();
  // The package moves sections with dots in their names to the end, so the order is restored here.
  for (const name of keySets.keys()) {
    const entries = Object.entries(parsed[name] ?? {}).map(
      ([key, value]) => [key, String(value)] as const,
    );
    sections.set(name, new Map(entries));
  }
  return Ok(sections);
}
