import { execFileSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { z } from 'zod';
import { IniFormat, MetricRegistry, SettingsReloader, readSettings } from '@limpetbay/runtime';

const schema = z.strictObject({
  entry: z.strictObject({ id: z.string() }),
  timing: z.strictObject({ grace_ms: z.coerce.number().min(1).default(8000) }).prefault({}),
});

/** Longer than the two reads of a changed file are apart. */
const SETTLED_MS = 1300;

const TEXT = '[entry]\nid=a\n[timing]\ngrace_ms=12000\n';

let folder: string;
let file: string;
let reloader: SettingsReloader<z.infer<typeof schema>>;
let sentences: string[];
let graceMs: number[];

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'limpetbay-'));
  file = join(folder, 'entry.ini');
  writeFileSync(file, TEXT);
  sentences = [];
  graceMs = [];
  const add = (sentence: string): void => {
    sentences.push(sentence);
  };
  const format = new IniFormat(schema, ['timing.grace_ms']);
  reloader = new SettingsReloader({
    file,
    format,
    initial: readSettings(file, format).unwrap(),
    log: { report: add, warn: add, alert: add },
    metrics: new MetricRegistry(),
  });
  reloader.start(({ timing }) => graceMs.push(timing.grace_ms));
});

afterEach(() => {
  reloader.stop();
  rmSync(folder, { recursive: true });
});

// Guards against half of a file whose values are applied, or whose missing values become defaults.
it.each([
  ['in a value', TEXT.slice(0, -4)],
  ['in a name', TEXT.slice(0, TEXT.indexOf('ace_ms'))],
  ['between two lines', TEXT.slice(0, TEXT.indexOf('grace_ms'))],
])('applies nothing of a file that ends %s', async (_name, text) => {
  writeFileSync(file, text);
  await sleep(SETTLED_MS);
  expect(graceMs).toEqual([]);
  expect(sentences).toHaveLength(1);
});

// Guards against a file without content of its own, whose read stops the process.
it('refuses a pipe', async () => {
  rmSync(file);
  execFileSync('mkfifo', [file]);
  await sleep(SETTLED_MS);
  expect(sentences).toEqual(['settings refused; those in force stay']);
});

// Guards against a file that takes more memory than the process may use.
it('refuses a file that is far larger than any settings', async () => {
  writeFileSync(file, `${TEXT};${'x'.repeat(2_000_000)}\n`);
  await sleep(SETTLED_MS);
  expect(sentences).toEqual(['settings refused; those in force stay']);
});
