/** Counts of events and of rule violations in one or more schedules. */
export class Tally {
  schedules = 0;

  requests = 0;

  runs = 0;

  completed = 0;

  replayed = 0;

  /** Requests whose caller got an error that says that no target ran them. */
  reportedNotRun = 0;

  /** Replies to callers that leave open whether a target ran the request. */
  reportedUnknown = 0;

  /** Frames that entries dropped: of another attempt, repeated or late. */
  droppedFrames = 0;

  /** Runs after the first of a request or key that may run only once. */
  doubledRuns = 0;

  /** Requests reported as not run that a target ran. */
  wronglyNotRun = 0;

  /** Callers that got the answer to another request, or part of an answer as a complete one. */
  wrongAnswers = 0;

  /** Runs that started after the deadline in the attempt that the agent received. */
  lateRuns = 0;

  /** Keys still claimed at the end by a running agent that neither runs nor ran the request. */
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
