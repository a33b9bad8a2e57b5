import type { TargetView } from './TargetView.js';

/** Which targets are believed to hold a prefix in their cache. Hints: late and incomplete. */
export class PrefixIndex {
  readonly #views = new Map<string, TargetView[]>();

  add(view: TargetView, hash: string): void {
    if (!view.hints.has(hash)) {
      const views = this.#views.get(hash);
      if (views === undefined) this.#views.set(hash, [view]);
      else views.push(view);
    }
    view.hints.add(hash);
    for (let old = view.hints.evict(); old !== null; old = view.hints.evict()) {
      this.#forget(view, old);
    }
  }

  remove(view: TargetView, hash: string): void {
    if (!view.hints.has(hash)) return;
    view.hints.remove(hash);
    this.#forget(view, hash);
  }

  clear(view: TargetView): void {
    for (const hash of view.hints.clear()) this.#forget(view, hash);
  }

  /** @returns the targets believed to hold the prefix */
  find(hash: string): readonly TargetView[] {
    return this.#views.get(hash) ?? [];
  }

  #forget(view: TargetView, hash: string): void {
    const views = this.#views.get(hash);
    if (views === undefined) return;
    const index = views.indexOf(view);
    if (index < 0) return;
    if (views.length === 1) {
      this.#views.delete(hash);
      return;
    }
    const last = views.pop();
    if (last !== undefined && index < views.length) views[index] = last;
  }
}
