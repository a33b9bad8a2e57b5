import { formatDocument } from '@limpetbay/operators';
import type { CommandContext } from './CommandContext.js';
import { ExitStatus } from './ExitStatus.js';
import { readAcceptedDocument } from './readAcceptedDocument.js';

/** Prints the accepted document as a file that `accept` can read. @returns the exit status */
export async function runShow(context: CommandContext, serviceName: string): Promise<number> {
  const accepted = await readAcceptedDocument(context, serviceName);
  if (accepted.err) {
    context.warn(`${accepted.val.kind}: ${accepted.val.message}`);
    return ExitStatus.failed;
  }
  if (!accepted.val?.document) {
    context.warn(`unknown_service: service ${serviceName} has no accepted document`);
    return ExitStatus.failed;
  }
  const { revision, operationId, document } = accepted.val;
  // `accept` reads this revision, so that an edited copy of an older revision fails as a conflict.
  context.print(`; revision = ${revision}\n; operation = ${operationId}`);
  context.print(formatDocument(document).trimEnd());
  return ExitStatus.ok;
}
