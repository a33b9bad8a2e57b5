import type { z } from 'zod';
import {
  Ok,
  ServiceDocument,
  describeAllowed,
  fail,
  matchTarget,
  type Failure,
  type Result,
} from '@limpetbay/core';
import { documentKeys } from './documentKeys.js';
import { expandRanks } from './expandRanks.js';
import { readSections } from './readSections.js';

type Sections = ReadonlyMap<string, ReadonlyMap<string, string>>;

const GROUP_SECTION = /^group\s+(.+)$/;
const GROUP_KEYS: ReadonlySet<string> = new Set(['ranks', 'targets']);
const ROUTE_KEY = /^(\S+)\s+(\S+)$/;

function splitList(text: string): string[] {
  return text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');
}

function convertValue(type: 'text' | 'number' | 'list', text: string): unknown {
  if (type === 'list') return splitList(text);
  // Text that is not a number stays text, so that the schema reports it.
  if (type === 'number' && text.trim() !== '' && !Number.isNaN(Number(text))) return Number(text);
  return text;
}

function findUnknownKeys(sections: Sections): string[] {
  const issues: string[] = [];
  const fixedSections = new Set(documentKeys.map(({ section }) => section));
  for (const [section, values] of sections) {
    if (section === 'routes') continue;
    const isGroup = GROUP_SECTION.test(section);
    if (!isGroup && !fixedSections.has(section)) {
      const allowed = [...fixedSections, 'routes', 'group NAME'].join(', ');
      issues.push(`[${section}]: unknown section; allowed: ${allowed}`);
      continue;
    }
    const keys = documentKeys.filter((item) => item.section === section).map(({ key }) => key);
    const allowedKeys = isGroup ? GROUP_KEYS : new Set(keys);
    for (const key of values.keys()) {
      if (allowedKeys.has(key)) continue;
      issues.push(`[${section}] ${key}: unknown key; allowed: ${[...allowedKeys].join(', ')}`);
    }
  }
  return issues;
}

function collectGroups(sections: Sections, issues: string[]): { name: string; ranks: string[] }[] {
  const groups: { name: string; ranks: string[] }[] = [];
  for (const [section, values] of sections) {
    const name = GROUP_SECTION.exec(section)?.[1];
    if (name === undefined) continue;
    const ranks = expandRanks(splitList(values.get('targets') ?? ''), values.get('ranks') ?? null);
    if (ranks.ok) groups.push({ name, ranks: ranks.val });
    else issues.push(`[${section}] ${ranks.val.message}`);
  }
  return groups;
}

function collectRoutes(
  sections: Sections,
  issues: string[],
): { method: string; pathPrefix: string; repeat: string }[] {
  const routes: { method: string; pathPrefix: string; repeat: string }[] = [];
  for (const [key, repeat] of sections.get('routes') ?? []) {
    const [, method, pathPrefix] = ROUTE_KEY.exec(key) ?? [];
    if (method === undefined || pathPrefix === undefined) {
      issues.push(`[routes] ${key}: unknown key; allowed: METHOD PATH-PREFIX`);
    } else routes.push({ method, pathPrefix, repeat });
  }
  return routes;
}

function describeIssue(issue: z.core.$ZodIssue, sections: Sections): string {
  const [part, index] = issue.path;
  if (part === 'routes') {
    const [key, value] = [...(sections.get('routes') ?? [])][Number(index)] ?? [];
    const field = String(issue.path[2]);
    const shown = field === 'repeat' ? value : key;
    const allowed =
      field === 'pathPrefix'
        ? 'a path that begins with /'
        : describeAllowed(ServiceDocument, ['routes', field]).allowed;
    return `[routes] ${key}: '${shown}' is not allowed; allowed: ${allowed}`;
  }
  if (part === 'groups') return `[group]: ${issue.message}`;
  const documentKey = documentKeys.find(({ path }) => path[0] === part && path[1] === index);
  if (documentKey === undefined) return `[${String(part)}]: ${issue.message}`;
  const { section, key, path } = documentKey;
  const value = sections.get(section)?.get(key);
  const problem = value === undefined ? 'missing' : `'${value}' is not allowed`;
  return `[${section}] ${key}: ${problem}; allowed: ${describeAllowed(ServiceDocument, path).allowed}`;
}

function findDuplicate(items: readonly string[]): string | undefined {
  return items.find((item, index) => items.indexOf(item) !== index);
}

/** Checks the rules that span several keys, which the schema does not check. */
function checkCrossKeyRules(document: ServiceDocument): string[] {
  const { service, zones, targets, groups, routes } = document;
  const issues: string[] = [];
  const zone = findDuplicate([...zones.in, ...zones.out]);
  if (zone !== undefined) {
    issues.push(`[zones] in, out: zone '${zone}' is given twice; allowed: once in one of them`);
  }
  if (service.kind === 'plain' && groups.length > 0) {
    issues.push(`[group ${groups[0]?.name}]: allowed: only with kind = model`);
  }
  if (service.kind === 'model' && routes.length > 0) {
    issues.push('[routes]: allowed: only with kind = plain');
  }
  const owners = new Map<string, string>();
  for (const { name, ranks } of groups) {
    for (const target of ranks) {
      const owner = owners.get(target);
      if (owner !== undefined) {
        const where = owner === name ? 'of the same group' : `of group ${owner}`;
        issues.push(`[group ${name}] targets: '${target}' is also a rank ${where}; allowed: once`);
      }
      owners.set(target, name);
    }
    const outside = ranks.find((target) => !matchTarget(targets, target));
    if (outside !== undefined) {
      const allowed = 'allowed: targets that [targets] includes';
      issues.push(`[group ${name}] targets: '${outside}' is no target of the service; ${allowed}`);
    }
  }
  return issues;
}

/**
 * Parses a service document.
 *
 * @param text INI text of section 13 of the design page
 * @param file name for messages
 * @returns the document, or `invalid_document` with a line for each problem: file, section, key and
 *   allowed range
 */
export function parseDocument(text: string, file: string): Result<ServiceDocument, Failure> {
  const read = readSections(text, file);
  if (read.err) return read;
  const sections: Sections = read.val;
  const issues = findUnknownKeys(sections);
  const input: Record<string, unknown> = {};
  for (const { section } of documentKeys) input[section] = {};
  for (const { section, key, path, type } of documentKeys) {
    const value = sections.get(section)?.get(key);
    if (value === undefined) continue;
    (input[path[0]] as Record<string, unknown>)[path[1]] = convertValue(type, value);
  }
  input.groups = collectGroups(sections, issues);
  input.routes = collectRoutes(sections, issues);
  const checked = ServiceDocument.safeParse(input);
  if (checked.error) {
    for (const issue of checked.error.issues) issues.push(describeIssue(issue, sections));
  } else issues.push(...checkCrossKeyRules(checked.data));
  if (issues.length > 0 || checked.error) {
    return fail('invalid_document', issues.map((issue) => `${file}: ${issue}`).join('\n'));
  }
  return Ok(checked.data);
}
