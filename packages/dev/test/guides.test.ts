import { readFileSync, readdirSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { z } from 'zod';
import { AgentSettings } from '@limpetbay/agent';
import { CliSettings } from '@limpetbay/cli';
import { ErrorKind, answerTable } from '@limpetbay/core';
import { EntrySettings } from '@limpetbay/entry';

interface SettingNode {
  readonly type?: string;
  readonly enum?: readonly string[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly minLength?: number;
  readonly maxLength?: number;
  readonly pattern?: string;
  readonly format?: string;
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, SettingNode>>;
}

const SETTING_ROW = /^\| `\[(\w+)\]` \| `(\w+)` \| (.+?) \| (.+?) \| .+ \|$/gm;

/** Texts by which the page describes the patterns of the schemas. */
const PATTERN_TEXTS: Readonly<Record<string, string>> = {
  '^[^:]+:\\d{1,5}$': 'IP:PORT',
  '^\\S+:\\d+$': 'IP:PORT',
  '^https?:\\/\\/\\S+$': 'http:// or https:// URL',
};

function readPage(name: string): string {
  return readFileSync(new URL(`../../../docs/operators/${name}`, import.meta.url), 'utf8');
}

function describeRange({ type, minimum, maximum }: SettingNode): string {
  const kind = type === 'integer' ? 'whole number' : 'number';
  return maximum === undefined
    ? `${kind} from ${minimum}`
    : `${kind} from ${minimum} to ${maximum}`;
}

function describeAllowed(node: SettingNode): string {
  if (node.enum !== undefined) return node.enum.join(' or ');
  if (node.type === 'integer' || node.type === 'number') return describeRange(node);
  if (node.format === 'uri') return 'http:// URL';
  if (node.pattern !== undefined) return PATTERN_TEXTS[node.pattern] ?? node.pattern;
  return node.maxLength === undefined
    ? 'text'
    : `text of ${node.minLength ?? 0} to ${node.maxLength} characters`;
}

/** Lists section, key, default and range of each setting, as the page shows them. */
function listSettings(schema: z.ZodType): string[][] {
  const root = z.toJSONSchema(schema, { io: 'input' }) as SettingNode;
  const rows: string[][] = [];
  for (const [section, { properties = {} }] of Object.entries(root.properties ?? {})) {
    for (const [key, node] of Object.entries(properties)) {
      const defaultText = node.default === undefined ? '(required)' : `\`${String(node.default)}\``;
      rows.push([section, key, defaultText, describeAllowed(node)]);
    }
  }
  return rows;
}

/** Lists the rows of the table below a heading, up to the next heading. */
function listRows(page: string, heading: string): string[][] {
  const [, rest = ''] = page.split(`\n### ${heading}\n`);
  const [section = ''] = rest.split('\n#');
  return [...section.matchAll(SETTING_ROW)].map((row) => row.slice(1, 5));
}

// Guards against a page that lists a setting, default or range that the binary does not have, or
// that omits a setting.
describe('first-deployment.md', () => {
  it.each([
    ['limpetbay-entry', EntrySettings],
    ['limpetbay-agent', AgentSettings],
    ['limpetbay', CliSettings],
  ])('lists every setting of %s with its default and range', (binary, schema) => {
    const expected = listSettings(schema);
    expect(expected.length).toBeGreaterThan(0);
    expect(listRows(readPage('first-deployment.md'), `Settings of \`${binary}\``)).toEqual(
      expected,
    );
  });
});

// Guards against an error page that differs from the answers that callers receive, or that omits a
// kind.
describe('errors.md', () => {
  it('lists every error kind with its status and whether the request was run', () => {
    const rows = [...readPage('errors.md').matchAll(/^\| `(\w+)` \| (\d+) \| (\w+) \| (\w+) \|/gm)];
    const expected = ErrorKind.options.map((kind) => {
      const { status, run, retryElsewhere } = answerTable[kind];
      return [kind, String(status), run, retryElsewhere ? 'yes' : 'no'];
    });
    expect(rows.map((row) => row.slice(1, 5))).toEqual(expected);
  });
});

/** Reads all source files below a folder, such as `entry/src`, and joins their texts. */
function readSources(folder: string): string {
  const root = new URL(`../../${folder}/`, import.meta.url);
  const files = readdirSync(root, { recursive: true, encoding: 'utf8' });
  const sources = files.filter((file) => file.endsWith('.ts'));
  return sources.map((file) => readFileSync(new URL(file, root), 'utf8')).join('\n');
}

const LOG_CALL =
  /(?:\b(?:log|ports)\.(?:report|warn|alert)\(|#logDecision\(run,)\s*(?:[^'"()]*\? )?'([^']+)'(?: : '([^']+)')?/g;
const METRIC = /\blimpetbay_[a-z_]+/g;

// Guards against a log sentence or metric that the page does not explain, and against one that it
// explains although no code writes it.
describe('decisions.md', () => {
  const sources = ['entry/src', 'agent/src', 'rpc/src', 'core/src/config']
    .map((folder) => readSources(folder))
    .join('\n');
  const page = readPage('decisions.md');

  it('explains every log sentence', () => {
    const emitted = new Set<string>(['document active', 'document deleted']);
    for (const [, first, second] of sources.matchAll(LOG_CALL)) {
      if (first !== undefined) emitted.add(first);
      if (second !== undefined) emitted.add(second);
    }
    const rows = [...page.matchAll(/^\| `([^`]+)` \| (?:info|warn|error) \|/gm)];
    const documented = new Set(rows.map(([, sentence]) => sentence));
    expect([...documented].sort()).toEqual([...emitted].sort());
    expect(sources).toContain("'document deleted' : 'document active'");
  });

  it('explains every metric', () => {
    const emitted = new Set(sources.match(METRIC));
    const rows = [...page.matchAll(/^\| `(limpetbay_[a-z_]+)(?:\{\w+\})?` \|/gm)];
    expect(rows.map(([, name]) => name).sort()).toEqual([...emitted].sort());
  });
});
