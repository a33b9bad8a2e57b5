import { formatDocument } from '@limpetbay/operators';
import type { CommandContext } from './CommandContext.js';
import { ExitStatus } from './ExitStatus.js';
import { readAccepted } from './readAccepted.js';

/** Prints the accepted document, in a form that `accept` takes back. @returns the exit status */
export async function runShow(context: CommandContext, name: string): Promise<number> {
  const read = await readAccepted(context, name);
  if (read.err) {
    context.warn(`${read.val.kind}: ${read.val.message}`);
    return ExitStatus.failed;
  }
  if (!read.val?.document) {
    context.warn(`unknown_service: no document of ${name} is accepted`);
    return ExitStatus.failed;
  }
  const { revision, operationId, document } = read.val;
  // `accept` reads the revision back, so that an edit of an old copy becomes a conflict.
  context.print(`; revision = ${revision}\n; operation = ${operationId}`);
  context.print(formatDocument(document).trimEnd());
  return ExitStatus.ok;
}
