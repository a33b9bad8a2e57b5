import type { TargetView } from './TargetView.js';

/** Maps prefix hashes to the targets that probably have them cached. Hints: late and incomplete. */
export class PrefixIndex {
  readonly #views = new Map<string, TargetView[]>();

  add(view: TargetView, hash: string): void {
    if (!view.hints.has(hash)) {
      const views = this.#views.get(hash);
      if (views === undefined) this.#views.set(hash, [view]);
      else views.push(view);
    }
    view.hints.add(hash);
    for (let evicted = view.hints.evict(); evicted !== null; evicted = view.hints.evict()) {
      this.#removeView(view, evicted);
    }
  }

  remove(view: TargetView, hash: string): void {
    if (!view.hints.has(hash)) return;
    view.hints.remove(hash);
    this.#removeView(view, hash);
  }

  clear(view: TargetView): void {
    for (const hash of view.hints.clear()) this.#removeView(view, hash);
  }

  /** Returns the targets that probably have the prefix cached. */
  findTargets(hash: string): readonly TargetView[] {
    return this.#views.get(hash) ?? [];
  }

  #removeView(view: TargetView, hash: string): void {
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
