import { collectStatus, findProblems, formatStatus } from '@limpetbay/operators';
import type { CommandContext } from './CommandContext.js';
import { ExitStatus } from './ExitStatus.js';

/** Prints the problems and the state of all instances. @returns the exit status */
export async function runStatus(context: CommandContext): Promise<number> {
  const { store, instanceList, clock, relays } = context;
  const view = await collectStatus({
    store,
    instanceList,
    clock,
    fetchReport: (address, timeoutMs) => relays.fetchReport(address, timeoutMs),
  });
  context.print(formatStatus(view).trimEnd());
  return findProblems(view).length === 0 ? ExitStatus.ok : ExitStatus.failed;
}
