import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  acceptDocument,
  confirmActivation,
  diffDocuments,
  formatDifferences,
} from '@limpetbay/operators';
import type { CommandContext } from './CommandContext.js';
import { ExitStatus } from './ExitStatus.js';
import { readDocumentFile } from './readDocumentFile.js';

const MAX_LISTED_INSTANCES = 20;

/**
 * Accepts a document and waits until it is active in all processes.
 *
 * @param ignoreBase whether to skip the conflict check against the revision in the file
 * @returns the exit status
 */
export async function runAccept(
  context: CommandContext,
  file: string,
  ignoreBase: boolean,
): Promise<number> {
  const read = readDocumentFile(file);
  if (read.err) {
    context.warn(read.val.message);
    return ExitStatus.invalid;
  }
  const { document } = read.val;
  const operationId = randomUUID();
  const accepted = await acceptDocument({
    store: context.store,
    document,
    operationId,
    baseRevision: ignoreBase ? null : read.val.baseRevision,
    sleep: (delayMs) => sleep(delayMs),
  });
  if (accepted.err) {
    context.warn(`${accepted.val.kind}: ${accepted.val.message}`);
    return ExitStatus.failed;
  }
  const { name } = document.service;
  const { revision, before, isUnchanged } = accepted.val;
  if (isUnchanged) context.print(`${name}: already accepted at revision ${revision}`);
  else {
    context.print(`${name}: accepted at revision ${revision}, operation ${operationId}`);
    context.print(formatDifferences(diffDocuments(before, document)));
  }
  const list = await context.instanceList.fetchInstances();
  if (list.err) {
    context.warn(`could not check where the document is active: ${list.val.message}`);
    return ExitStatus.unconfirmed;
  }
  const { confirmed, lastMs, missing } = await confirmActivation({
    service: name,
    revision,
    instances: list.val,
    clock: context.clock,
    limitMs: context.settings.accept.confirm_ms,
    sleep: (delayMs) => sleep(delayMs),
    fetchReport: (address, timeoutMs) => context.relays.fetchReport(address, timeoutMs),
  });
  const total = list.val.length;
  context.print(
    `active in ${confirmed} of ${total} processes, the last after ${Math.round(lastMs)} ms`,
  );
  if (missing.length === 0) return ExitStatus.ok;
  for (const { instance, reason } of missing.slice(0, MAX_LISTED_INSTANCES)) {
    context.warn(`not confirmed: ${instance.id} (zone ${instance.zone}): ${reason}`);
  }
  const remainingCount = missing.length - MAX_LISTED_INSTANCES;
  if (remainingCount > 0) context.warn(`not confirmed: ${remainingCount} more`);
  context.warn(
    "the document stays accepted; check the remaining processes with 'limpetbay status'",
  );
  return ExitStatus.unconfirmed;
}
