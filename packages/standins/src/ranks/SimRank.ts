import type { OrderAnswer } from '@limpetbay/core';

/** A rank of a `SimGroup`. It answers orders as a rank of a model group does. */
export class SimRank {
  step = 0;

  map = 0;

  prepared: number | null = null;

  loading: { version: number; readyAt: number } | null = null;

  armed: { version: number; step: number } | null = null;

  held: number | null = null;

  highestVersion = 0;

  prepare(version: number, readyAt: number): OrderAnswer {
    if (this.prepared === version || this.loading?.version === version) return 'done';
    if (version <= this.highestVersion || this.armed !== null) return 'refused';
    this.highestVersion = version;
    this.prepared = null;
    this.loading = { version, readyAt };
    return 'done';
  }

  arm(version: number, step: number): OrderAnswer {
    if (this.armed?.version === version && this.armed.step === step) return 'done';
    if (this.armed !== null || this.prepared !== version || step <= this.step) return 'refused';
    this.armed = { version, step };
    return 'done';
  }

  disarm(version: number): OrderAnswer {
    if (this.map === version) return 'refused';
    if (this.armed?.version === version) this.armed = null;
    return 'done';
  }

  hold(step: number): OrderAnswer {
    if (this.held === step) return 'done';
    if (this.held !== null || step <= this.step) return 'refused';
    this.held = step;
    return 'done';
  }

  release(step: number): OrderAnswer {
    if (this.held === step) this.held = null;
    return 'done';
  }
}
