import { readFileSync } from 'node:fs';
import { join } from 'node:path';

/** Returns the command of a role of the deploy file, with the running Node.js as its program. */
export function readCommand(root: string, role: string): string[] {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const run = /run = "([^"]+)"/.exec(section)?.[1];
  if (run === undefined) throw new Error(`deploy/system.toml has no command of ${role}`);
  const [program, ...args] = run.split(' ');
  return [program === 'node' ? process.execPath : program!, ...args];
}
