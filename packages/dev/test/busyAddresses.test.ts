import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { waitUntil } from '@limpetbay/runtime';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

const HOST = '127.0.0.1';
const PACKAGES = new URL('../../', import.meta.url).pathname;
const MAX_WAIT_MS = 8000;

/** A program whose start is not finished ends this soon after a stop signal. */
const PROMPT_STOP_MS = 1000;

describe('a program whose address is held by another process', () => {
  let folder: string;
  let holder: Server;
  let heldPort: number;
  let child: ChildProcess;
  let output: string;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'limpetbay-'));
    holder = createServer();
    await new Promise<void>((resolve) => {
      holder.listen(0, HOST, resolve);
    });
    heldPort = (holder.address() as AddressInfo).port;
    output = '';
  });

  afterEach(() => {
    child.kill('SIGKILL');
    holder.close();
    rmSync(folder, { recursive: true, force: true });
  });

  function launch(program: string, args: readonly string[]): void {
    child = spawn(process.execPath, [`${PACKAGES}${program}/dist/main.js`, ...args]);
    const addOutput = (data: Buffer): void => {
      output += data.toString('utf8');
    };
    child.stdout!.on('data', addOutput);
    child.stderr!.on('data', addOutput);
  }

  /** Launches a daemon, one address of which is held. */
  function launchDaemon(daemon: 'entry' | 'agent', heldKey: string): void {
    const ports: Record<string, number> = { address: 0, caller_port: 0, [heldKey]: heldPort };
    const section =
      daemon === 'entry'
        ? `caller_host = ${HOST}\ncaller_port = ${ports.caller_port}\ncaller_url = http://${HOST}:0`
        : `metrics_port = ${ports.metrics_port ?? 0}\nservice = s\nkind = plain\ntarget = t\n` +
          `target_origin = http://${HOST}:1`;
    const file = join(folder, 'settings.ini');
    const platform = `[platform]\nstore = ${HOST}:1\ninstances = http://${HOST}:1`;
    const identity = `[${daemon}]\nid = i\nzone = a\naddress = ${HOST}:${ports.address}`;
    writeFileSync(file, `${identity}\n${section}\n${platform}\n`);
    launch(daemon, ['--settings', file]);
  }

  async function waitForOutput(text: string): Promise<void> {
    const hasArrived = await waitUntil(() => output.includes(text), MAX_WAIT_MS);
    if (!hasArrived) throw new Error(`no "${text}" in: ${output}`);
  }

  // Guards against a busy address that ends a daemon where a retry helps.
  it.each([
    ['entry', 'address'],
    ['entry', 'caller_port'],
    ['agent', 'address'],
    ['agent', 'metrics_port'],
  ] as const)('starts as %s once it is free: %s', async (daemon, heldKey) => {
    launchDaemon(daemon, heldKey);
    await waitForOutput('could not bind an address; trying again');
    expect(output).toContain('EADDRINUSE');
    holder.close();
    await waitForOutput('address bound after failures');
    await waitForOutput(': started address=');
  });

  // Guards against a stop that waits for an address which another process keeps.
  it.each([
    ['entry', () => launchDaemon('entry', 'caller_port')],
    ['agent', () => launchDaemon('agent', 'address')],
    ['dev', () => launch('dev', ['--port', String(heldPort)])],
  ])('stops promptly while it is tried again: %s', async (_program, start) => {
    start();
    await waitForOutput('could not bind an address; trying again');
    child.kill('SIGTERM');
    const hasEnded = await waitUntil(() => child.exitCode !== null, PROMPT_STOP_MS);
    expect(hasEnded).toBe(true);
    expect(child.exitCode).toBe(0);
  });
});
