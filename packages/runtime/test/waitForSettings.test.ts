import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Ok, fail } from '@limpetbay/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RealClock, waitForSettings, type SettingsFormat } from '../src/index.js';

/** Settings of one port. */
class PortFormat implements SettingsFormat<{ readonly port: string }> {
  parse(text: string): ReadonlyMap<string, unknown> {
    return new Map([['port', /^port=(\d+)$/m.exec(text)?.[1]]]);
  }

  check(values: ReadonlyMap<string, unknown>, file: string) {
    const port = values.get('port');
    if (typeof port !== 'string') return fail('invalid_setting', `${file}: port: is missing`);
    return Ok({ port });
  }

  isLive(): boolean {
    return false;
  }
}

describe('waitForSettings', () => {
  let folder: string;
  let file: string;
  let lines: string[];

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'limpetbay-'));
    file = join(folder, 'settings');
    lines = [];
  });

  afterEach(() => rmSync(folder, { recursive: true, force: true }));

  async function read(): Promise<string> {
    const write = (sentence: string): void => {
      lines.push(sentence);
    };
    const log = { report: write, warn: write, alert: write };
    const loaded = await waitForSettings(file, new PortFormat(), new RealClock(), log);
    return loaded.ok ? loaded.val.settings.port : loaded.val.message;
  }

  // Guards against a value that is cut short by a write in progress and taken for a whole one.
  it('waits for the end of the last line', async () => {
    writeFileSync(file, 'port=80');
    const reading = read();
    writeFileSync(file, 'port=8080\n');
    expect(await reading).toBe('8080');
  });

  // Guards against a file without a newline at its end that a program never accepts.
  it('accepts a last line without an end that stays the same', async () => {
    writeFileSync(file, 'port=80');
    expect(await read()).toBe('80');
    expect(lines).toEqual([]);
  });

  // Guards against a start that is delayed although its settings are complete.
  it('returns complete settings at once', async () => {
    writeFileSync(file, 'port=80\n');
    const startMs = performance.now();
    expect(await read()).toBe('80');
    expect(performance.now() - startMs).toBeLessThan(50);
  });

  // Guards against a program that waits forever for settings that stay wrong.
  it('returns the failure of the last read after 2 s', async () => {
    writeFileSync(file, 'prt=80\n');
    expect(await read()).toBe(`${file}: port: is missing`);
    expect(lines).toEqual(['settings cannot be used yet; reading them again']);
  });
});
