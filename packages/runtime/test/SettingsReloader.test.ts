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

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'limpetbay-'));
  file = join(folder, 'entry.ini');
  writeFileSync(file, TEXT);
  sentences = [];
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
  reloader.start(() => {});
});

afterEach(() => {
  reloader.stop();
  rmSync(folder, { recursive: true });
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
