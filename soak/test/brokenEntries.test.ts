import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SoakRun } from '../src/SoakRun.js';
import type { FaultPlan } from '../src/schedule/FaultPlan.js';
import type { Profile } from '../src/schedule/Profile.js';

const BROKEN_ENTRY = new URL('support/brokenEntry.js', import.meta.url).pathname;

const SECONDS = 4;

const profile: Profile = {
  entries: 1,
  agents: 0,
  targets: 1,
  callersPerEntry: 6,
  faultGapMs: 1000,
  maxBurst: 0,
  kinds: [],
};

const RELOAD: FaultPlan = {
  atMs: 500,
  kind: 'hup',
  index: 0,
  durationMs: 0,
  choice: 0,
  count: 1,
};

const WITHDRAWAL: FaultPlan = { ...RELOAD, kind: 'leave' };

/** Guards against a soak that reports no violation because it cannot see one. */
describe('a soak over an entry', { timeout: 60_000 }, () => {
  let folder = '';

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'soak-'));
  });

  afterEach(() => rmSync(folder, { recursive: true, force: true }));

  /** Runs an entry with a fault. @returns rules that were broken, and what was seen */
  async function run(fault: string, schedule: readonly FaultPlan[] = [], targets = 1) {
    const command = [process.execPath, BROKEN_ENTRY, fault];
    const { violations, outcomes } = await new SoakRun({
      seed: 1,
      seconds: SECONDS,
      profile: { ...profile, targets },
      schedule,
      folder,
      commands: { entry: command, agent: command },
      recoveryMs: fault === 'unready' ? 1500 : 12_000,
    }).run();
    const rules = new Set(violations.map(({ rule }) => rule));
    return { rules, seen: violations.map(({ seen }) => seen).join('\n'), outcomes };
  }

  it('finds nothing if the entry is sound', async () => {
    const { rules, seen, outcomes } = await run('none', [RELOAD]);
    expect(seen).toBe('');
    expect(rules).toEqual(new Set());
    expect(Object.keys(outcomes)).toEqual(['200']);
  });

  it('finds an answer that is dropped beside a reload', async () => {
    const { rules, seen } = await run('drop', [RELOAD]);
    expect(rules).toEqual(new Set(['LOST']));
    expect(seen).toMatch('no answer beside planned work');
  });

  it('finds more than three answers that are dropped on kept connections', async () => {
    const { rules, seen } = await run('drop');
    expect(rules).toEqual(new Set(['LOST']));
    expect(seen).toMatch('on a kept connection');
  });

  it('finds an end of the process by itself, also with status 0', async () => {
    const { rules, seen } = await run('exit');
    expect(rules).toContain('FAULT');
    expect(seen).toMatch('ended by itself (status 0)');
  });

  it('finds resident memory over the limit', async () => {
    const { rules, seen } = await run('memory');
    expect(rules).toEqual(new Set(['FAULT']));
    expect(seen).toMatch('MB of resident memory');
  });

  it('finds an entry that does not become ready', async () => {
    const { rules, seen } = await run('unready');
    expect(rules).toEqual(new Set(['FAULT']));
    expect(seen).toMatch('does not serve');
  });

  it('finds an unsafe request that runs twice', async () => {
    expect((await run('twice')).rules).toEqual(new Set(['TWICE']));
  });

  it('finds a request that ran and is answered 503', async () => {
    expect((await run('refuse')).rules).toEqual(new Set(['REFUSED']));
  });

  it.each(['stale', 'none'])('finds requests to a target that has left (%s)', async (fault) => {
    const { rules, seen } = await run(fault, [WITHDRAWAL], 2);
    expect(rules).toEqual(new Set(fault === 'stale' ? ['DRAIN'] : []));
    if (fault === 'stale') expect(seen).toMatch('after the end of its time to drain');
  });

  it('finds an answer that lost a byte', async () => {
    expect((await run('truncate')).rules).toEqual(new Set(['MIXED']));
  });
});
