/** What one or more schedules did, and the violations in them. */
export class Tally {
  schedules = 0;

  requests = 0;

  runs = 0;

  completed = 0;

  replayed = 0;

  toldNotRun = 0;

  toldUnknown = 0;

  droppedFrames = 0;

  /** Runs of something that may run once beyond its first. */
  doubledRuns = 0;

  /** Callers told "not run" whose request was handed to a target. */
  wronglyNotRun = 0;

  /** Callers with an answer to another request, or with part of an answer as a complete one. */
  wrongAnswers = 0;

  /** Runs that began after the deadline that the agent knew. */
  lateRuns = 0;

  /** Keys claimed by a living agent that neither runs nor ran the request. */
  blockedKeys = 0;

  add(other: Tally): void {
    for (const name of Object.keys(other) as (keyof Tally)[]) {
      const value = other[name];
      if (typeof value === 'number') Object.assign(this, { [name]: Number(this[name]) + value });
    }
  }

  sumViolations(): number {
    const { doubledRuns, wronglyNotRun, wrongAnswers, lateRuns, blockedKeys } = this;
    return doubledRuns + wronglyNotRun + wrongAnswers + lateRuns + blockedKeys;
  }
}
