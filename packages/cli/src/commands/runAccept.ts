import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { Ok, type Failure, type Result, type ServiceDocument } from '@limpetbay/core';
import {
  acceptDocument,
  confirmActivation,
  diffDocuments,
  formatDifferences,
} from '@limpetbay/operators';
import type { CommandContext } from './CommandContext.js';
import { ExitStatus } from './ExitStatus.js';
import { readAcceptedDocument } from './readAcceptedDocument.js';
import { readDocumentFile } from './readDocumentFile.js';

type Activation = Awaited<ReturnType<typeof confirmActivation>> & {
  /** Number of instances. */
  readonly total: number;
};

const MAX_LISTED_INSTANCES = 20;

/** A document is accepted again while processes have one that a restored store has lost. */
const MAX_ACCEPTS = 3;

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
  const { document, baseRevision } = read.val;
  let base = ignoreBase ? null : baseRevision;
  let knownRevision = 0;
  for (let accepts = 1; ; accepts += 1) {
    const accepted = await acceptOnce(context, document, base, knownRevision);
    if (accepted.err) {
      context.warn(`${accepted.val.kind}: ${accepted.val.message}`);
      return ExitStatus.failed;
    }
    base = accepted.val;
    const { name } = document.service;
    const activation = await waitForActivation(context, name, base);
    if (activation.err) {
      const { message } = activation.val;
      context.warn(`could not check where the document is active: ${message}`);
      return ExitStatus.unconfirmed;
    }
    knownRevision = activation.val.newestRevision;
    const isOverridden = await isLost(context, name, knownRevision);
    if (!isOverridden || accepts === MAX_ACCEPTS) {
      return reportActivation(context, activation.val, isOverridden);
    }
    context.warn(
      `${name}: processes have revision ${knownRevision}, which the store has lost; ` +
        'accepting the document above it',
    );
  }
}

/** Writes the document and prints what changed. @returns the accepted revision */
async function acceptOnce(
  context: CommandContext,
  document: ServiceDocument,
  baseRevision: number | null,
  knownRevision: number,
): Promise<Result<number, Failure>> {
  const operationId = randomUUID();
  const accepted = await acceptDocument({
    store: context.store,
    document,
    operationId,
    baseRevision,
    knownRevision,
    sleep: (delayMs) => sleep(delayMs),
  });
  if (accepted.err) return accepted;
  const { name } = document.service;
  const { revision, before, isUnchanged } = accepted.val;
  if (isUnchanged) context.print(`${name}: already accepted at revision ${revision}`);
  else {
    context.print(`${name}: accepted at revision ${revision}, operation ${operationId}`);
    context.print(formatDifferences(diffDocuments(before, document)));
  }
  return Ok(revision);
}

/** Waits until the revision is active in all instances or the time limit has passed. */
async function waitForActivation(
  context: CommandContext,
  service: string,
  revision: number,
): Promise<Result<Activation, Failure>> {
  const list = await context.instanceList.fetchInstances();
  if (list.err) return list;
  const confirmation = await confirmActivation({
    service,
    revision,
    instances: list.val,
    clock: context.clock,
    limitMs: context.settings.accept.confirm_ms,
    sleep: (delayMs) => sleep(delayMs),
    fetchReport: (address, timeoutMs) => context.relays.fetchReport(address, timeoutMs),
  });
  return Ok({ ...confirmation, total: list.val.length });
}

/** Returns whether the store has only an older revision of the document than a process. */
async function isLost(
  context: CommandContext,
  service: string,
  revision: number,
): Promise<boolean> {
  const stored = await readAcceptedDocument(context, service);
  return stored.ok && stored.val !== null && stored.val.revision < revision;
}

/** Prints where the document is active. @returns the exit status */
function reportActivation(
  context: CommandContext,
  { total, confirmed, lastMs, missing }: Activation,
  isOverridden: boolean,
): number {
  context.print(
    `active in ${confirmed} of ${total} processes, the last after ${Math.round(lastMs)} ms`,
  );
  if (isOverridden) {
    context.warn('processes keep a newer document that the store has lost; accept it once more');
    return ExitStatus.unconfirmed;
  }
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
