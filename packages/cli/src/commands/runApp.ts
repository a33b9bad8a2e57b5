import { runSafely } from 'cmd-ts';
import type { CommandContext } from './CommandContext.js';
import { createApp } from './createApp.js';

/**
 * Runs the operators' command.
 *
 * @param args arguments behind the program's name
 * @returns the exit status
 */
export async function runApp(
  args: readonly string[],
  version: string,
  output: Pick<CommandContext, 'print' | 'warn'>,
): Promise<number> {
  // Every binary takes `--check` without a command; here `status` carries it.
  const isCheck = args[0]?.startsWith('--') === true && args.includes('--check');
  const result = await runSafely(createApp({ version, output }), [
    ...(isCheck ? ['status'] : []),
    ...args,
  ]);
  if (result._tag === 'ok') return result.value.value;
  const { exitCode, into, message } = result.error.config;
  if (into === 'stdout') output.print(message);
  else output.warn(message);
  return exitCode;
}
