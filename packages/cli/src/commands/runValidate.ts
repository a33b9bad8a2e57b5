import type { CommandContext } from './CommandContext.js';
import { ExitStatus } from './ExitStatus.js';
import { readDocumentFile } from './readDocumentFile.js';

/** Validates a document file without connecting to the store. @returns the exit status */
export function runValidate(context: Pick<CommandContext, 'print' | 'warn'>, file: string): number {
  const read = readDocumentFile(file);
  if (read.err) {
    context.warn(read.val.message);
    return ExitStatus.invalid;
  }
  const { service, zones, groups } = read.val.document;
  const parts = [`${service.kind} service ${service.name}`];
  parts.push(`zones in: ${zones.in.join(', ') || 'none'}`);
  if (zones.out.length > 0) parts.push(`zones out: ${zones.out.join(', ')}`);
  for (const { name, ranks } of groups) parts.push(`group ${name}: ${ranks.length} ranks`);
  context.print(`${file}: valid; ${parts.join('; ')}`);
  return ExitStatus.ok;
}
