import type { Profile } from './Profile.js';

const signalKinds = ['hup', 'hup', 'settings', 'stop', 'stop', 'kill', 'hold', 'config'] as const;

/** Two changes of the configuration, or two reloads, may be closer together than their bounds. */
const SHORT_GAP_MS = 700;

const LIMIT_SIZES = {
  entries: 24,
  agents: 12,
  targets: 16,
  callersPerEntry: 6,
  faultGapMs: 120,
  maxBurst: 200,
};

const planned: Profile = {
  entries: 3,
  agents: 1,
  targets: 4,
  callersPerEntry: 8,
  faultGapMs: SHORT_GAP_MS,
  maxBurst: 0,
  kinds: ['hup', 'hup', 'settings', 'stop', 'config', 'drain'],
};

const allKinds = [
  ...signalKinds,
  ...(['freeze', 'store', 'store', 'drain', 'crash', 'endless'] as const),
  ...(['largeAnswers', 'uploads', 'resets'] as const),
];

/**
 * Profiles by name. The schedule of a seed depends on its profile: a changed profile gives the
 * seeds of `seeds.json` another schedule, so new kinds of faults get a new profile.
 */
export const profiles: ReadonlyMap<string, Profile> = new Map([
  ['planned', planned],
  ['signals', { ...planned, agents: 2, kinds: signalKinds }],
  ['full', { ...planned, agents: 2, maxBurst: 60, kinds: allKinds }],
  [
    'watches',
    {
      ...planned,
      targets: 5,
      kinds: [
        'cuts',
        'cuts',
        'cuts',
        'leave',
        'leave',
        'drain',
        'store',
        'stop',
        'freeze',
        'config',
      ],
    },
  ],
  ['links', { ...planned, kinds: [...planned.kinds, 'silence', 'silence', 'resets', 'crash'] }],
  [
    'memory',
    {
      ...planned,
      entries: 2,
      faultGapMs: 1500,
      maxBurst: 200,
      kinds: ['largeAnswers', 'largeAnswers', 'uploads', 'uploads', 'endless', 'hup'],
    },
  ],
  // A few dozen processes; their peak stays under half of a machine of 32 GB.
  ['limits', { ...planned, ...LIMIT_SIZES, kinds: allKinds }],
]);
