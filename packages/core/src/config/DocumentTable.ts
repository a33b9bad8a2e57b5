import type { VersionedDocument } from '../document/VersionedDocument.js';
import type { Revision } from '../ids/Revision.js';
import type { ServiceName } from '../ids/ServiceName.js';

/**
 * The document of each service at the highest revision that this process has received. A lower
 * revision never replaces it.
 */
export class DocumentTable {
  readonly #documents = new Map<ServiceName, VersionedDocument>();

  readonly #onChange: (document: VersionedDocument) => void;

  #version = 0;

  /** @param onChange called after each change, also for tombstones */
  constructor(onChange: (document: VersionedDocument) => void = () => undefined) {
    this.#onChange = onChange;
  }

  /** Applies a document or tombstone. @returns whether it was newer than the existing one */
  apply(document: VersionedDocument): boolean {
    const existing = this.#documents.get(document.name);
    if (existing !== undefined && existing.revision >= document.revision) return false;
    this.#documents.set(document.name, document);
    this.#version += 1;
    this.#onChange(document);
    return true;
  }

  /**
   * Applies a full read of the store. A service that the read does not contain has been deleted;
   * its tombstone gets the revision of the read, at which the service was certainly absent.
   *
   * @param revision revision of the store at the read
   * @param kept services that do not count as deleted although `documents` lacks them
   */
  applySnapshot(
    documents: readonly VersionedDocument[],
    revision: Revision,
    kept: ReadonlySet<string> = new Set(),
  ): void {
    const present = new Set<string>(kept);
    for (const document of documents) {
      present.add(document.name);
      this.apply(document);
    }
    for (const { name, document } of [...this.#documents.values()]) {
      if (present.has(name) || document === null) continue;
      this.apply({ name, revision, operationId: '', document: null });
    }
  }

  /** Returns the latest document or tombstone of a service. */
  getDocument(name: string): VersionedDocument | undefined {
    return this.#documents.get(name as ServiceName);
  }

  /** Lists the latest documents and tombstones. */
  listDocuments(): VersionedDocument[] {
    return [...this.#documents.values()];
  }

  /** Lists the documents and tombstones that are newer than `knownRevisions`. */
  listNewer(knownRevisions: ReadonlyMap<string, number>): VersionedDocument[] {
    const newer: VersionedDocument[] = [];
    for (const document of this.#documents.values()) {
      if (document.revision > (knownRevisions.get(document.name) ?? -1)) newer.push(document);
    }
    return newer;
  }

  /** Returns the latest revision of each service. */
  getRevisions(): Map<string, number> {
    const revisions = new Map<string, number>();
    for (const { name, revision } of this.#documents.values()) revisions.set(name, revision);
    return revisions;
  }

  /** Returns a number that increases with every change. */
  getVersion(): number {
    return this.#version;
  }
}
