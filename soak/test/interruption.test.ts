import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync, rmSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';

const MAIN = new URL('../dist/main.js', import.meta.url).pathname;
const BROKEN_ENTRY = new URL('support/brokenEntry.js', import.meta.url).pathname;

const FOLDER = new URL('../failures/planned-987', import.meta.url).pathname;

/** Entries and agent of the profile. */
const PROCESSES = 4;

const WAIT_STEP_MS = 20;

/** Returns the ids of the processes that a process started. */
function listChildren(pid: number): string[] {
  const text = readFileSync(`/proc/${pid}/task/${pid}/children`, 'utf8');
  return text.split(' ').filter(Boolean);
}

/** Returns whether a process runs; one that has ended and was not waited for does not. */
function isRunning(pid: string): boolean {
  try {
    return !/^State:\s+Z/m.test(readFileSync(`/proc/${pid}/status`, 'utf8'));
  } catch {
    return false;
  }
}

/** Guards against processes that go on running after a soak was interrupted. */
describe('an interrupted soak', { timeout: 60_000 }, () => {
  let soak: ChildProcess;

  afterEach(() => {
    soak.kill('SIGKILL');
    rmSync(FOLDER, { recursive: true, force: true });
  });

  it.each(['SIGINT', 'SIGTERM'] as const)('ends its processes on %s', async (signal) => {
    const command = `${process.execPath} ${BROKEN_ENTRY} none`;
    const args = ['--profile', 'planned', '--seed', '987', '--command', command];
    soak = spawn(process.execPath, [MAIN, ...args], { stdio: 'ignore' });
    while (listChildren(soak.pid!).length < PROCESSES) await sleep(WAIT_STEP_MS);
    const pids = listChildren(soak.pid!);
    soak.kill(signal);
    const [status] = (await once(soak, 'exit')) as [number];
    expect(status).toBe(2);
    while (pids.some(isRunning)) await sleep(WAIT_STEP_MS);
  });
});
