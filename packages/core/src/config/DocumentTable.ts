import type { VersionedDocument } from '../document/VersionedDocument.js';
import type { Revision } from '../ids/Revision.js';
import type { ServiceName } from '../ids/ServiceName.js';

/** The highest revision of each service's document that a process has seen. It never goes back. */
export class DocumentTable {
  readonly #documents = new Map<ServiceName, VersionedDocument>();

  readonly #onChange: (document: VersionedDocument) => void;

  #version = 0;

  /** @param onChange called after each change, also for tombstones */
  constructor(onChange: (document: VersionedDocument) => void = () => undefined) {
    this.#onChange = onChange;
  }

  /** Applies a document or tombstone. @returns whether it was newer than the known one */
  apply(document: VersionedDocument): boolean {
    const known = this.#documents.get(document.name);
    if (known !== undefined && known.revision >= document.revision) return false;
    this.#documents.set(document.name, document);
    this.#version += 1;
    this.#onChange(document);
    return true;
  }

  /**
   * Applies a full read. A known service that the read does not contain was deleted in the
   * meantime; its tombstone carries the revision of the read, at which it was surely absent.
   *
   * @param revision revision of the store at the read
   * @param unreadable services whose value could not be read, which is not a deletion
   */
  applySnapshot(
    documents: readonly VersionedDocument[],
    revision: Revision,
    unreadable: ReadonlySet<string> = new Set(),
  ): void {
    const present = new Set<string>(unreadable);
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

  /** Lists what is newer than `known`. */
  listNewer(known: ReadonlyMap<string, number>): VersionedDocument[] {
    const newer: VersionedDocument[] = [];
    for (const document of this.#documents.values()) {
      if (document.revision > (known.get(document.name) ?? -1)) newer.push(document);
    }
    return newer;
  }

  /** Returns the revision in force of each service. */
  getRevisions(): Map<string, number> {
    const revisions = new Map<string, number>();
    for (const { name, revision } of this.#documents.values()) revisions.set(name, revision);
    return revisions;
  }

  /** Returns a number that grows with every change. */
  getVersion(): number {
    return this.#version;
  }
}
