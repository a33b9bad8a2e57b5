import { runSafely } from 'cmd-ts';
import type { CommandContext } from './CommandContext.js';
import { createApp } from './createApp.js';
import { ExitStatus } from './ExitStatus.js';

/**
 * Runs the `limpetbay` command.
 *
 * @param args arguments after the program name
 * @returns the exit status
 */
export async function runApp(
  args: readonly string[],
  version: string,
  output: Pick<CommandContext, 'print' | 'warn'>,
): Promise<number> {
  // All programs accept `--check` without a command. Here `status` implements it.
  const isCheckWithoutCommand = args[0]?.startsWith('--') === true && args.includes('--check');
  const result = await runSafely(createApp({ version, output }), [
    ...(isCheckWithoutCommand ? ['status'] : []),
    ...args,
  ]);
  if (result._tag === 'ok') return result.value.value;
  const { exitCode, into, message } = result.error.config;
  if (into === 'stdout') output.print(message);
  else output.warn(message);
  const isRouteUsage = args[0] === 'route' && into === 'stderr' && exitCode !== 0;
  return isRouteUsage ? ExitStatus.invalid : exitCode;
}
