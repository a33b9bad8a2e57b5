import { runSafely } from 'cmd-ts';
import type { Log } from '../log/Log.js';

/**
 * Runs the command line of this process. One that is not valid ends the process with a last line in
 * its log besides the message for the user.
 */
export async function runCommandLine(
  cli: Parameters<typeof runSafely>[0],
  createProcessLog: () => Log,
): Promise<void> {
  const result = await runSafely(cli, process.argv.slice(2));
  if (result._tag === 'ok') return;
  const { exitCode: status, message } = result.error.config;
  if (status !== 0) {
    const cause = `invalid command line: ${message}`;
    createProcessLog().alert('process ended', { status, cause });
  }
  result.error.run();
}
