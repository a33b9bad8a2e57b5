import type { Profile } from './Profile.js';

const signalKinds = ['hup', 'hup', 'settings', 'stop', 'stop', 'kill', 'hold', 'config'] as const;

/** Two changes of a desired state, or two reloads, may be closer together than their bounds. */
const SHORT_GAP_MS = 700;

const planned: Profile = {
  entries: 3,
  agents: 1,
  targets: 4,
  callersPerEntry: 8,
  faultGapMs: SHORT_GAP_MS,
  maxBurst: 0,
  kinds: ['hup', 'hup', 'settings', 'stop', 'config', 'drain'],
};

/**
 * Profiles by name. The schedule of a seed depends on its profile: a changed profile gives the
 * seeds of `seeds.json` another schedule, so new kinds of faults get a new profile.
 */
export const profiles: ReadonlyMap<string, Profile> = new Map([
  ['planned', planned],
  ['signals', { ...planned, agents: 2, kinds: signalKinds }],
]);
